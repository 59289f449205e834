import { expect } from 'chai';
import fc from 'fast-check';

import { EndpointDirectory } from '../endpoints/endpoint-directory';
import { CacheSurveyPlan } from '../engines/cache-survey-plan';
import { LoadEstimate } from '../engines/load-estimate';
import { PartLocations } from '../engines/part-locations';
import { endpointId, promptPartId, routerId } from '../types/ids';
import { instant } from '../types/units';
import { PeerNews } from './peer-news';

const engine = endpointId('e');
const part = promptPartId('p');
const now = instant(0);

function open(name: string) {
  const self = routerId(name);
  const loads = new LoadEstimate();
  const locations = new PartLocations();
  const directory = new EndpointDirectory();
  const surveyPlan = new CacheSurveyPlan(self);
  const parts = { self, loads, locations, directory, surveyPlan };
  return { self, loads, locations, surveyPlan, news: new PeerNews(parts) };
}

describe('PeerNews', () => {
  it('carries a count over a relay to others and back to nobody twice', () => {
    const [origin, relay, other] = [
      open('origin'),
      open('relay'),
      open('other'),
    ];
    relay.news.isRelay = true;
    origin.news.loadChanged(engine, 3);
    relay.news.receive(origin.self, origin.news.takeChanges() ?? {}, now);
    const relayed = relay.news.takeChanges() ?? {};
    other.news.receive(relay.self, relayed, now);
    origin.news.receive(relay.self, relayed, now);
    expect(other.loads.total(engine, now)).to.equal(3);
    expect(origin.loads.total(engine, now)).to.equal(0);
    expect(other.news.takeChanges()).to.equal(undefined);
  });

  it('passes parts on only while they are news, so that they do not circle', () => {
    const [left, right] = [open('left'), open('right')];
    left.news.isRelay = true;
    right.news.isRelay = true;
    left.news.partChanged(part, engine, 'held');
    left.locations.add(part, engine, 'held');
    right.news.receive(left.self, left.news.takeChanges() ?? {}, now);
    left.news.receive(right.self, right.news.takeChanges() ?? {}, now);
    expect(left.news.takeChanges()).to.equal(undefined);
    expect(right.locations.isAt(part, engine)).to.equal(true);
  });

  it('tells a new peer no more parts than a message holds, those used last', () => {
    const relay = open('relay');
    for (let count = 0; count < 5000; count += 1) {
      relay.locations.add(promptPartId(`p${count}`), engine, 'held');
    }
    const parts = relay.news.wholeState([engine]).p ?? [];
    expect(parts.length).to.be.at.most(2000);
    expect(parts[0]).to.deep.equal(['p4999', engine, 'held']);
  });

  it('tells through a relay and at once that an engine said what it holds', () => {
    const [asker, relay, other] = [open('asker'), open('relay'), open('other')];
    relay.news.isRelay = true;
    other.surveyPlan.begin([engine], now);
    asker.surveyPlan.markKnown(engine);
    asker.news.engineSurveyed(engine);
    relay.news.receive(asker.self, asker.news.takeChanges() ?? {}, now);
    expect(relay.news.isUrgent).to.equal(true);
    other.news.receive(relay.self, relay.news.takeChanges() ?? {}, now);
    expect(other.surveyPlan.isKnown(engine)).to.equal(true);
  });

  it('tells through a relay that a router is gone', () => {
    const [relay, other] = [open('relay'), open('other')];
    relay.news.isRelay = true;
    relay.news.receive(routerId('lost'), { l: [['e', 4]] }, now);
    other.news.receive(relay.self, relay.news.takeChanges() ?? {}, now);
    relay.news.peerGone(routerId('lost'));
    other.news.receive(relay.self, relay.news.takeChanges() ?? {}, now);
    expect(other.loads.total(engine, now)).to.equal(0);
  });

  it('gives a new peer everything that is known', () => {
    const [old, young] = [open('old'), open('young')];
    old.loads.onRequestStarted(engine);
    old.locations.add(part, engine, 'held');
    old.news.versionChanged(9);
    const received = young.news.receive(
      old.self,
      old.news.wholeState([engine]),
      now,
    );
    expect(received.version).to.equal(9);
    expect(young.loads.total(engine, now)).to.equal(1);
    expect(young.locations.isAt(part, engine)).to.equal(true);
  });

  it('takes any entries without throwing and counts what is malformed', () => {
    const { news, self } = open('r');
    const topics = fc.dictionary(
      fc.constantFrom('l', 'r', 'p', 'c', 'g', 'x'),
      fc.array(fc.jsonValue()),
    );
    fc.assert(
      fc.property(topics, entries => {
        expect(news.receive(self, entries, now).malformed).to.be.at.least(0);
      }),
      { seed: 1 },
    );
    expect(
      news.receive(self, { l: [['e', -1], 'no'], p: [['p', 'e', 'lent']] }, now)
        .malformed,
    ).to.equal(3);
  });
});
