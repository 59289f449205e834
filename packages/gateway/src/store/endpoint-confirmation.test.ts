import { expect } from 'chai';

import { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import { VersionHistory } from '@sesamegrade/core/software-versions/version-history';
import { FeedCoverage } from '@sesamegrade/core/store/feed-coverage';
import { revision, storeEra } from '@sesamegrade/core/store/feed-position';
import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import { Random } from '@sesamegrade/core/random/random';
import { routerId } from '@sesamegrade/core/types/ids';
import { fail, succeed } from '@sesamegrade/core/types/result';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';
import { EndpointConfirmation } from './endpoint-confirmation';
import type { FeedResult } from './feed-source';

const settle = () => new Promise(resolve => setImmediate(resolve));

/** A configuration that is always confirmed. */
const configurationConfirmation = {
  read: () => Promise.resolve(true),
  statement: () => undefined,
  isAsNewAs: () => true,
};

describe('EndpointConfirmation', () => {
  // Guards against rows of a store that was restored while they were under way.
  it('applies no rows of an earlier era to a copy of a restored store', async () => {
    const timers = new ManualTimerService();
    const coverage = new FeedCoverage({
      bound: seconds(2),
      random: new Random(1),
    });
    const record = (era: number, at: number) =>
      coverage.record({
        origin: routerId('r'),
        position: { era: storeEra(era), revision: revision(at) },
        confirmedAt: timers.now(),
      });
    record(0, 100);
    let answer: (result: FeedResult) => void = () => undefined;
    const applied: unknown[] = [];
    const confirmation = new EndpointConfirmation({
      configurationConfirmation,
      settings: { router: { id: 'r' } },
      endpointFeed: {
        readChanges: () =>
          new Promise(resolve => {
            answer = resolve;
          }),
      },
      coverage: { endpoints: coverage },
      fleetReplica: {
        isHealthy: true,
        applyEndpointChanges: ({ position }) => {
          applied.push(position);
        },
      },
      endpointDirectory: new EndpointDirectory(),
      versionHistory: new VersionHistory(() => seconds(30)),
      peerMesh: {
        relays: [],
        requestVersions: () => Promise.reject(new Error('not connected')),
      },
      timers,
      backgroundTasks: new BackgroundTasks(({ error }) => {
        throw error;
      }),
    });
    const evidence = confirmation.confirm();
    timers.advance(milliseconds(5));
    await settle();
    record(1, 50);
    answer(
      succeed({
        rows: [{ key: 'e', value: undefined, revision: revision(101) }],
        position: { era: storeEra(0), revision: revision(101) },
      }),
    );
    await settle();
    timers.advance(milliseconds(100));
    await settle();
    expect({ applied, evidence: await evidence }).to.deep.equal({
      applied: [],
      evidence: undefined,
    });
  });

  const at = (era: number, number: number) => ({
    era: storeEra(era),
    revision: revision(number),
  });

  /** A router that knows the endpoints up to a position, the answers of its store and of one relay. */
  function open(known: ReturnType<typeof at>) {
    const timers = new ManualTimerService();
    const coverage = new FeedCoverage({
      bound: seconds(2),
      random: new Random(1),
    });
    const record = (position: ReturnType<typeof at>) =>
      coverage.record({
        origin: routerId('r'),
        position,
        confirmedAt: timers.now(),
      });
    record(known);
    const versionHistory = new VersionHistory(() => seconds(30));
    versionHistory.markFirstStart();
    const answers: {
      store: () => Promise<FeedResult>;
      relay: () => Promise<unknown>;
    } = {
      store: () =>
        Promise.resolve(fail({ kind: 'turned-away' as const, status: 503 })),
      relay: () => Promise.reject(new Error('not connected')),
    };
    const confirmation = new EndpointConfirmation({
      configurationConfirmation,
      settings: { router: { id: 'r' } },
      endpointFeed: { readChanges: () => answers.store() },
      coverage: { endpoints: coverage },
      fleetReplica: {
        isHealthy: true,
        applyEndpointChanges: ({ position }) => {
          record(position);
        },
      },
      endpointDirectory: new EndpointDirectory(),
      versionHistory,
      peerMesh: {
        relays: [routerId('relay')],
        requestVersions: () => answers.relay(),
      },
      timers,
      backgroundTasks: new BackgroundTasks(({ error }) => {
        throw error;
      }),
    });
    const confirm = async () => {
      let evidence: unknown = 'none yet';
      const confirmed = confirmation.confirm().then(value => {
        evidence = value;
      });
      for (let passed = 0; passed < 100; passed += 5) {
        timers.advance(milliseconds(5));
        await settle();
      }
      return { evidence, confirmed };
    };
    const reads = (position: ReturnType<typeof at>) => () =>
      Promise.resolve(succeed({ rows: [], position }));
    const reports =
      (position: ReturnType<typeof at>, isComplete = true) =>
      () =>
        Promise.resolve({ uses: [], isComplete, ...position });
    return {
      timers,
      confirmation,
      versionHistory,
      answers,
      confirm,
      reads,
      reports,
    };
  }

  // Guards against a store that answers from a copy which lacks a version that has joined.
  it('takes no read of its own for news that is older than what it knows', async () => {
    const { answers, confirm, reads, versionHistory } = open(at(0, 100));
    answers.store = reads(at(0, 100));
    expect((await confirm()).evidence).to.equal('store');
    answers.store = reads(at(0, 99));
    expect((await confirm()).evidence).to.equal(undefined);
    // A peer told of a later position than the router has reached itself.
    versionHistory.markComplete(at(0, 120));
    answers.store = reads(at(0, 119));
    expect((await confirm()).evidence).to.equal(undefined);
    answers.store = reads(at(0, 120));
    expect((await confirm()).evidence).to.equal('store');
  });

  // Guards against the same copy if a relay reads it.
  it('takes no report of a relay for news that is older than what it knows', async () => {
    const { answers, confirm, reports } = open(at(0, 100));
    answers.relay = reports(at(0, 99));
    expect((await confirm()).evidence).to.equal(undefined);
    answers.relay = reports(at(0, 100), false);
    expect((await confirm()).evidence).to.equal(undefined);
    answers.relay = reports(at(0, 100));
    expect((await confirm()).evidence).to.equal('peer');
  });

  // Guards against a relay that has not noticed a restore which took a version away.
  it('takes no report of an earlier era of the store', async () => {
    const { answers, confirm, reports } = open(at(1, 50));
    answers.relay = reports(at(0, 100));
    expect((await confirm()).evidence).to.equal(undefined);
  });

  // Guards against a report of before a freeze that passes for one of the time after it.
  it('lets the late answer of a frozen relay count for no later request', async () => {
    const { answers, confirm, reports } = open(at(0, 100));
    let thaw: (report: unknown) => void = () => undefined;
    answers.relay = () =>
      new Promise(resolve => {
        thaw = resolve;
      });
    const early = await confirm();
    expect(early.evidence).to.equal('none yet');
    const thawEarly = thaw;
    const late = await confirm();
    thawEarly(await reports(at(0, 100))());
    await early.confirmed;
    expect((await confirm()).evidence).to.equal('none yet');
    expect(late.evidence).to.equal('none yet');
  });

  // Guards against a relay that answers what it knew before its own read.
  it('reports nothing unless a read that followed the question shows it', async () => {
    const { answers, confirmation, timers, reads } = open(at(0, 100));
    for (const [store, isReported] of [
      [reads(at(0, 99)), false],
      [reads(at(1, 10)), false],
      [reads(at(0, 101)), true],
    ] as const) {
      answers.store = store;
      const report = confirmation.report();
      timers.advance(milliseconds(5));
      await settle();
      expect((await report) !== undefined).to.equal(isReported);
    }
  });
});
