import { expect } from 'chai';
import fc from 'fast-check';

import { EndpointLimits } from '../endpoint-limits/endpoint-limits';
import { EndpointDirectory } from '../endpoints/endpoint-directory';
import { EvacuatedZones } from '../endpoints/evacuated-zones';
import { EndpointReplica } from '../endpoints/endpoint-replica';
import { CacheSurveyPlan } from '../engines/cache-survey-plan';
import { LoadEstimate } from '../engines/load-estimate';
import { PartLocations } from '../engines/part-locations';
import { RelayedSuspects } from '../poison/relayed-suspects';
import { Random } from '../random/random';
import { RouteTable } from '../routes/route-table';
import { FeedCoverage } from '../store/feed-coverage';
import { StoreClock } from '../store/store-clock';
import {
  endpointId,
  promptPartId,
  routerId,
  serviceId,
  zoneId,
} from '../types/ids';
import type { RouterId } from '../types/ids';
import { instant, seconds } from '../types/units';
import { FeedTopic, FeedUpdates } from './feed-updates';
import { LoadTopic, LoadUpdates } from './load-updates';
import { PeerUpdates, UpdateTopic } from './peer-updates';

const engine = endpointId('e');
const part = promptPartId('p');
const now = instant(0);

function createRouter(name: string) {
  const self = routerId(name);
  const loads = new LoadEstimate();
  const locations = new PartLocations();
  const endpointDirectory = new EndpointDirectory();
  const surveyPlan = new CacheSurveyPlan(self);
  const random = new Random(1);
  const suspects = new RelayedSuspects({ self, routers: () => [] });
  const coverage = {
    endpoints: new FeedCoverage({ bound: seconds(2), random }),
    configuration: new FeedCoverage({ bound: seconds(2), random }),
  };
  const updates = new PeerUpdates({
    loadUpdates: new LoadUpdates(loads),
    feedUpdates: new FeedUpdates({
      self,
      endpointReplica: new EndpointReplica(
        endpointDirectory,
        coverage.endpoints,
      ),
      evacuatedZones: new EvacuatedZones(),
      routes: new RouteTable(),
      coverage,
      storeClock: new StoreClock(),
    }),
    locations,
    endpointDirectory,
    surveyPlan,
    suspects,
    endpointLimits: new EndpointLimits(),
  });
  return {
    self,
    loads,
    locations,
    endpointDirectory,
    surveyPlan,
    updates,
    take: (peer?: RouterId) => ({
      ...updates.takeChanges(now),
      ...(peer === undefined ? {} : updates.takeChangesFor(peer)),
    }),
  };
}

describe('PeerUpdates', () => {
  it('relays a load count to others, which do not pass it on, and which its origin does not count again', () => {
    const [origin, relay, other] = [
      createRouter('origin'),
      createRouter('relay'),
      createRouter('other'),
    ];
    relay.updates.isRelay = true;
    for (let count = 1; count <= 3; count += 1) {
      origin.loads.onRequestStarted(engine);
      origin.updates.onLoadChanged(engine, count);
    }
    relay.updates.receive(origin.self, origin.take(), now);
    const relayed = relay.take();
    const included = relay.updates.takeChangesFor(origin.self);
    other.updates.receive(relay.self, relayed, now);
    origin.updates.receive(relay.self, { ...relayed, ...included }, now);
    expect(other.loads.total(engine, now)).to.equal(3);
    expect(origin.loads.total(engine, now)).to.equal(3);
    expect(other.take()).to.deep.equal({});
  });

  it('relays only parts that are new, so that they do not circulate between relays', () => {
    const [left, right] = [createRouter('left'), createRouter('right')];
    left.updates.isRelay = true;
    right.updates.isRelay = true;
    left.updates.onPartChanged(part, engine, 'held');
    left.locations.add(part, engine, 'held');
    right.updates.receive(left.self, left.updates.takeChanges(now), now);
    left.updates.receive(right.self, right.updates.takeChanges(now), now);
    expect(left.take()).to.deep.equal({});
    expect(right.locations.isAt(part, engine)).to.equal(true);
  });

  it('sends a new peer the parts used last, no more than a message holds', () => {
    const relay = createRouter('relay');
    for (let count = 0; count < 5000; count += 1) {
      relay.locations.add(promptPartId(`p${count}`), engine, 'held');
    }
    const parts =
      relay.updates.fullState(routerId('new'), [engine], now).p ?? [];
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
      surveyor.updates.takeChanges(now),
      now,
    );
    expect(relay.updates.isUrgent).to.equal(true);
    other.updates.receive(relay.self, relay.updates.takeChanges(now), now);
    expect(other.surveyPlan.isKnown(engine)).to.equal(true);
  });

  it('relays that a router is gone, so that its load is dropped', () => {
    const [relay, other] = [createRouter('relay'), createRouter('other')];
    relay.updates.isRelay = true;
    relay.updates.receive(routerId('lost'), { l: [['e', 4]] }, now);
    other.updates.receive(relay.self, relay.updates.takeChanges(now), now);
    relay.updates.onPeerGone(routerId('lost'));
    other.updates.receive(relay.self, relay.updates.takeChanges(now), now);
    expect(other.loads.total(engine, now)).to.equal(0);
  });

  it('relays that an instance of an endpoint leaves, so that a later entry of it does not bring it back', () => {
    const [origin, relay, other] = [
      createRouter('origin'),
      createRouter('relay'),
      createRouter('other'),
    ];
    relay.updates.isRelay = true;
    const entry = {
      id: engine,
      service: serviceId('s'),
      address: { host: '10.0.0.1', port: 1 },
      zone: zoneId('z'),
      slots: 4,
      leaving: false,
      warmUp: seconds(0),
      startedAt: 100,
      softwareVersion: undefined,
    };
    for (const { endpointDirectory } of [relay, other]) {
      endpointDirectory.replace([entry], now);
    }
    origin.updates.onEndpointLeaving(entry);
    expect(origin.updates.isUrgent).to.equal(true);
    relay.updates.receive(origin.self, origin.take(), now);
    other.updates.receive(relay.self, relay.take(), now);
    other.endpointDirectory.apply({ id: engine, entry }, now);
    expect(other.endpointDirectory.isUsable(engine)).to.equal(false);
  });

  it('sends a new peer the full state', () => {
    const [established, newcomer] = [
      createRouter('established'),
      createRouter('newcomer'),
    ];
    established.loads.onRequestStarted(engine);
    established.locations.add(part, engine, 'held');
    established.updates.onVersionChanged({ version: 9, era: 1 });
    const received = newcomer.updates.receive(
      established.self,
      established.updates.fullState(newcomer.self, [engine], now),
      now,
    );
    expect(received.version).to.deep.equal({ version: 9, era: 1 });
    expect(newcomer.loads.total(engine, now)).to.equal(1);
    expect(newcomer.locations.isAt(part, engine)).to.equal(true);
  });

  // Guards against two parts of the state that take each other's entries for their own.
  it('gives each topic a name of its own', () => {
    const names = [UpdateTopic, FeedTopic, LoadTopic].flatMap(topics =>
      Object.values<string>(topics),
    );
    expect(new Set(names).size).to.equal(names.length);
  });

  it('accepts any entries without throwing and counts the malformed ones', () => {
    const { updates, self } = createRouter('r');
    const topics = fc.dictionary(
      fc.constantFrom('l', 't', 'o', 'z', 'p', 'c', 'g', 's', 'e', 'f', 'x'),
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
