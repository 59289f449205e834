import { expect } from 'chai';
import fc from 'fast-check';

import { Random } from '@sesamegrade/core/random/random';
import { configurationVersion, routerId } from '@sesamegrade/core/types/ids';
import { StreamLedger } from './stream-ledger';
import { originOf, ReachedStore, silentLog } from './testing/reached-store';

const SELF = routerId('r-0');
/** Time within which the store has taken a record. */
const WRITE_TIME_MS = 200;
const MAX_SENT = 1000;
const FUZZ_RUNS = 300;

describe('StreamLedger as a relay', () => {
  let store: ReachedStore;
  let ledger: StreamLedger;
  let areRoutesKnown: boolean;

  const recordForPeer = async (message: unknown): Promise<boolean> => {
    const isStored = ledger.recordForPeer(message);
    await store.pass(WRITE_TIME_MS);
    return isStored;
  };
  const key = fc.stringMatching(/^[a-z0-9]{1,6}-[a-z0-9]{1,6}$/);
  const name = fc.option(fc.constantFrom('s', 'v1', 'v2', ''));
  const messages = fc.oneof(
    fc.anything(),
    fc.record({ origins: fc.anything() }),
    fc.record({ origins: fc.array(fc.anything(), { maxLength: 3 }) }),
    fc.record({
      origins: fc.array(
        fc.tuple(
          name,
          name,
          fc.integer({ min: 0, max: 3 }),
          fc.array(fc.oneof(key, fc.anything()), { maxLength: 3 }),
        ),
        { maxLength: 3 },
      ),
    }),
    fc.record({
      origins: fc.array(
        fc.tuple(
          name,
          name,
          fc.integer({ min: 1, max: 3 }),
          fc.array(key, { maxLength: 4 }),
        ),
        { maxLength: 3 },
      ),
    }),
  );

  beforeEach(() => {
    areRoutesKnown = true;
    store = new ReachedStore();
    ledger = new StreamLedger({
      routes: {
        get version() {
          return areRoutesKnown ? configurationVersion(1) : undefined;
        },
      },
      settings: { router: { id: SELF } },
      originTable: { reset: () => undefined },
      successorAgreement: { record: () => undefined },
      originConfirmation: { refresh: () => Promise.resolve() },
      originWriter: store.originWriter(new Random(1)),
      streamOrigins: store.streamOrigins,
      defaultVersions: store.defaultVersions,
      peerMesh: {
        relays: [SELF],
        requestRecording: () => Promise.reject(new Error('no peer')),
      },
      timers: store.timers,
      backgroundTasks: store.backgroundTasks,
      log: silentLog,
    });
  });

  it('writes its own origins and those of peers', async () => {
    const recorded = ledger.record(originOf('a'));
    await store.pass(WRITE_TIME_MS);
    expect(await recorded).to.equal(true);
    const origins = [['s', 'v2', 1, [originOf('b').key]]];
    expect(await recordForPeer({ origins })).to.equal(true);
    expect(store.storedKeys).to.include.keys(
      originOf('a').key,
      originOf('b').key,
    );
  });

  it('answers a peer with false if the store takes nothing', async () => {
    store.reach = 'rejects';
    const origins = [['s', 'v2', 1, [originOf('b').key]]];
    expect(await recordForPeer({ origins })).to.equal(false);
  });

  // Guards against rows that are kept for the life of streams that a router assumes before it knows the routes.
  it('writes nothing for a peer before it knows how long streams live', async () => {
    areRoutesKnown = false;
    const origins = [['s', 'v2', 1, [originOf('b').key]]];
    expect(await recordForPeer({ origins })).to.equal(false);
    expect(store.storedKeys.size).to.equal(0);
    areRoutesKnown = true;
    expect(await recordForPeer({ origins })).to.equal(true);
  });

  // Guards against a peer that is told of a record which the store does not have.
  it('stores each origin of a message that it accepts, and refuses all others', async () => {
    let accepted = 0;
    await fc.assert(
      fc.asyncProperty(messages, async message => {
        if (!(await recordForPeer(message))) {
          return;
        }
        const { origins } = message as {
          origins: [unknown, unknown, number, string[]][];
        };
        const keys = origins.flatMap(([, , , each]) => each);
        accepted += Math.sign(keys.length);
        const { storedKeys } = store;
        expect(keys.filter(each => !storedKeys.has(each))).to.deep.equal([]);
      }),
      { seed: 1, numRuns: FUZZ_RUNS },
    );
    expect(accepted).to.be.above(10);
  });

  // Guards against a message that fills a row beyond what the store takes.
  it('refuses a message with more origins than a router sends', async () => {
    const keys = Array.from(
      { length: MAX_SENT },
      (_value, index) => `${index}-0`,
    );
    const group = ['s', 'v2', 1, keys];
    expect(await recordForPeer({ origins: [group] })).to.equal(true);
    expect(
      await recordForPeer({ origins: [group, ['s', 'v2', 2, ['a-0']]] }),
    ).to.equal(false);
  });
});
