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
import { revision, storeEra } from '../store/feed-position';
import { formatAddress } from '../types/address';
import { endpointId, routerId } from '../types/ids';
import { instant, seconds } from '../types/units';
import { FeedTopic, FeedUpdates } from './feed-updates';
import { LoadUpdates } from './load-updates';
import { PeerUpdates, UpdateTopic } from './peer-updates';

const self = routerId('self');
const peer = routerId('peer');
const now = instant(0);
const ERA = 1;
const SOUND_ENTRY = ['s', '10.0.0.1', 80, 'z', 6, false, 0, null];

function open() {
  const random = new Random(1);
  const endpointDirectory = new EndpointDirectory();
  const coverage = {
    endpoints: new FeedCoverage({ bound: seconds(2), random }),
    configuration: new FeedCoverage({ bound: seconds(2), random }),
  };
  const endpointReplica = new EndpointReplica(
    endpointDirectory,
    coverage.endpoints,
  );
  const position = { era: storeEra(ERA), revision: revision(1) };
  endpointReplica.applyList([], position, now);
  const updates = new PeerUpdates({
    loadUpdates: new LoadUpdates(new LoadEstimate()),
    feedUpdates: new FeedUpdates({
      self,
      endpointReplica,
      evacuatedZones: new EvacuatedZones(),
      routes: new RouteTable(),
      coverage,
      storeClock: new StoreClock(),
    }),
    locations: new PartLocations(),
    endpointDirectory,
    surveyPlan: new CacheSurveyPlan(self),
    suspects: new RelayedSuspects({ self, routers: () => [peer] }),
    endpointLimits: new EndpointLimits(),
  });
  updates.isRelay = true;
  return { endpointDirectory, updates };
}

const text = fc.oneof(
  fc.string(),
  fc.webUrl(),
  fc.ipV4(),
  fc.ipV6(),
  fc.constantFrom('', 'e', 'held', '__proto__', 'endpoints', 'a\r\nb: c'),
);
const value = fc.oneof(
  text,
  fc.double(),
  fc.integer(),
  fc.maxSafeNat(),
  fc.boolean(),
  fc.constant(null),
  fc.jsonValue(),
);
/** A row whose fields are mostly of the right type. */
const row = fc.tuple(
  fc.constantFrom(0, ERA, 2),
  text,
  fc.maxSafeNat(),
  fc.option(
    fc
      .array(fc.tuple(fc.nat({ max: SOUND_ENTRY.length }), value), {
        maxLength: 3,
      })
      .map(changes => {
        const entry: unknown[] = [...SOUND_ENTRY];
        for (const [at, changed] of changes) {
          entry[at] = changed;
        }
        return entry;
      }),
    { nil: null },
  ),
);
const topics = fc.dictionary(
  fc.oneof(
    fc.constantFrom(...Object.values(UpdateTopic), ...Object.values(FeedTopic)),
    fc.string(),
  ),
  fc.array(fc.oneof(value, row, fc.array(value, { maxLength: 9 })), {
    maxLength: 6,
  }),
);

// Guards against a message of a peer that ends the router or hides sound entries.
describe('updates of a peer with malformed entries', () => {
  it('leave the router alive with the sound entries, and with addresses that can be connected to', () => {
    fc.assert(
      fc.property(fc.array(topics, { maxLength: 4 }), messages => {
        const { endpointDirectory, updates } = open();
        for (const message of messages) {
          expect(updates.receive(peer, message, now).malformed).to.be.at.least(
            0,
          );
          updates.takeChanges(now);
          updates.fullState(peer, [endpointId('e')], now);
        }
        updates.receive(
          peer,
          {
            [FeedTopic.rows]: [
              [
                ERA,
                'http://x',
                9,
                ['s', 'http://h', 80, 'z', 1, false, 0, null],
              ],
              [ERA, 'sound-endpoint', Number.MAX_SAFE_INTEGER, SOUND_ENTRY],
            ],
          },
          now,
        );
        expect(
          endpointDirectory.get(endpointId('sound-endpoint')),
        ).to.not.equal(undefined);
        for (const { id, address } of endpointDirectory.all()) {
          const url = new URL(`http://${formatAddress(address)}/`);
          expect(url.pathname).to.equal('/');
          expect(id).to.match(/^[!-~]+$/u);
        }
      }),
      { seed: 1, numRuns: 500 },
    );
  });
});
