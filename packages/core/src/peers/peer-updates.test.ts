import { expect } from 'chai';
import fc from 'fast-check';

import { EndpointDirectory } from '../endpoints/endpoint-directory';
import { CacheSurveyPlan } from '../engines/cache-survey-plan';
import { LoadEstimate } from '../engines/load-estimate';
import { PartLocations } from '../engines/part-locations';
import { endpointId, promptPartId, routerId } from '../types/ids';
import { instant } from '../types/units';
import { PeerUpdates } from './peer-updates';

const engine = endpointId('e');
const part = promptPartId('p');
const now = instant(0);

function createRouter(name: string) {
  const self = routerId(name);
  const loads = new LoadEstimate();
  const locations = new PartLocations();
  const endpointDirectory = new EndpointDirectory();
  const surveyPlan = new CacheSurveyPlan(self);
  const options = { self, loads, locations, endpointDirectory, surveyPlan };
  return {
    self,
    loads,
    locations,
    surveyPlan,
    updates: new PeerUpdates(options),
  };
}

describe('PeerUpdates', () => {
  it('relays a load count to others, which do not pass it on, and which its origin ignores', () => {
    const [origin, relay, other] = [
      createRouter('origin'),
      createRouter('relay'),
      createRouter('other'),
    ];
    relay.updates.isRelay = true;
    origin.updates.onLoadChanged(engine, 3);
    relay.updates.receive(origin.self, origin.updates.takeChanges() ?? {}, now);
    const relayed = relay.updates.takeChanges() ?? {};
    other.updates.receive(relay.self, relayed, now);
    origin.updates.receive(relay.self, relayed, now);
    expect(other.loads.total(engine, now)).to.equal(3);
    expect(origin.loads.total(engine, now)).to.equal(0);
    expect(other.updates.takeChanges()).to.equal(undefined);
  });

  it('relays only parts that are new, so that they do not circulate between relays', () => {
    const [left, right] = [createRouter('left'), createRouter('right')];
    left.updates.isRelay = true;
    right.updates.isRelay = true;
    left.updates.onPartChanged(part, engine, 'held');
    left.locations.add(part, engine, 'held');
    right.updates.receive(left.self, left.updates.takeChanges() ?? {}, now);
    left.updates.receive(right.self, right.updates.takeChanges() ?? {}, now);
    expect(left.updates.takeChanges()).to.equal(undefined);
    expect(right.locations.isAt(part, engine)).to.equal(true);
  });

  it('sends a new peer the parts used last, no more than a message holds', () => {
    const relay = createRouter('relay');
    for (let count = 0; count < 5000; count += 1) {
      relay.locations.add(promptPartId(`p${count}`), engine, 'held');
    }
    const parts = relay.updates.fullState([engine]).p ?? [];
    expect(parts.length).to.be.at.most(2000);
    expect(parts[0]).to.deep.equal(['p4999', engine, 'held']);
  });

  it('relays without delay that an engine was surveyed', () => {
    const [surveyor, relay, other] = [
      createRouter('surveyor'),
      createRouter('relay'),
      createRouter('other'),
    ];
    relay.updates.isRelay = true;
    other.surveyPlan.begin([engine], now);
    surveyor.surveyPlan.markKnown(engine);
    surveyor.updates.onEngineSurveyed(engine);
    relay.updates.receive(
      surveyor.self,
      surveyor.updates.takeChanges() ?? {},
      now,
    );
    expect(relay.updates.isUrgent).to.equal(true);
    other.updates.receive(relay.self, relay.updates.takeChanges() ?? {}, now);
    expect(other.surveyPlan.isKnown(engine)).to.equal(true);
  });

  it('relays that a router is gone, so that its load is dropped', () => {
    const [relay, other] = [createRouter('relay'), createRouter('other')];
    relay.updates.isRelay = true;
    relay.updates.receive(routerId('lost'), { l: [['e', 4]] }, now);
    other.updates.receive(relay.self, relay.updates.takeChanges() ?? {}, now);
    relay.updates.onPeerGone(routerId('lost'));
    other.updates.receive(relay.self, relay.updates.takeChanges() ?? {}, now);
    expect(other.loads.total(engine, now)).to.equal(0);
  });

  it('sends a new peer the full state', () => {
    const [established, newcomer] = [
      createRouter('established'),
      createRouter('newcomer'),
    ];
    established.loads.onRequestStarted(engine);
    established.locations.add(part, engine, 'held');
    established.updates.onVersionChanged(9);
    const received = newcomer.updates.receive(
      established.self,
      established.updates.fullState([engine]),
      now,
    );
    expect(received.version).to.equal(9);
    expect(newcomer.loads.total(engine, now)).to.equal(1);
    expect(newcomer.locations.isAt(part, engine)).to.equal(true);
  });

  it('accepts any entries without throwing and counts the malformed ones', () => {
    const { updates, self } = createRouter('r');
    const topics = fc.dictionary(
      fc.constantFrom('l', 'r', 'p', 'c', 'g', 'x'),
      fc.array(fc.jsonValue()),
    );
    fc.assert(
      fc.property(topics, entries => {
        expect(updates.receive(self, entries, now).malformed).to.be.at.least(0);
      }),
      { seed: 1 },
    );
    expect(
      updates.receive(
        self,
        { l: [['e', -1], 'no'], p: [['p', 'e', 'lent']] },
        now,
      ).malformed,
    ).to.equal(3);
  });
});
