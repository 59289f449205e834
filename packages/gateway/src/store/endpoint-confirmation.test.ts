import { expect } from 'chai';

import { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import { VersionHistory } from '@sesamegrade/core/software-versions/version-history';
import { FeedCoverage } from '@sesamegrade/core/store/feed-coverage';
import { revision, storeEra } from '@sesamegrade/core/store/feed-position';
import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import { Random } from '@sesamegrade/core/random/random';
import { routerId } from '@sesamegrade/core/types/ids';
import { succeed } from '@sesamegrade/core/types/result';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';
import { EndpointConfirmation } from './endpoint-confirmation';
import type { FeedResult } from './feed-source';

const settle = () => new Promise(resolve => setImmediate(resolve));

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
      configurationConfirmation: {
        read: () => Promise.resolve(true),
        statement: () => undefined,
        isAsNewAs: () => true,
      },
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
});
