import { expect } from 'chai';

import { VersionHistory } from '@sesamegrade/core/software-versions/version-history';
import { FIRST_ERA, revision } from '@sesamegrade/core/store/feed-position';
import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import { routerId } from '@sesamegrade/core/types/ids';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';
import { HistoryCompletion } from './history-completion';

const TICK = milliseconds(250);
const settle = () => new Promise(resolve => setImmediate(resolve));

describe('HistoryCompletion', () => {
  let history: VersionHistory;
  let reports: Record<string, unknown>;
  let asked: number;
  let rowReads: number;

  const report = (isComplete: boolean, upTo: number) => ({
    uses: [],
    isComplete,
    era: FIRST_ERA,
    revision: upTo,
  });

  beforeEach(() => {
    history = new VersionHistory(() => seconds(30));
    history.markMissed({ era: FIRST_ERA, revision: revision(10) });
    reports = {};
    asked = 0;
    rowReads = 0;
  });

  async function pass(length: number): Promise<void> {
    const timers = new ManualTimerService();
    const completion = new HistoryCompletion({
      settings: { router: { id: 'self' } },
      versionHistory: history,
      storedVersions: {
        readAfterGap: () => {
          rowReads += 1;
          return Promise.resolve();
        },
      },
      peerMesh: {
        relays: ['self', 'first', 'second'].map(routerId),
        requestVersions: relay => {
          asked += 1;
          return relay in reports
            ? Promise.resolve(reports[relay])
            : Promise.reject(new Error('not connected'));
        },
      },
      timers,
      backgroundTasks: new BackgroundTasks(({ error }) => {
        throw error;
      }),
    });
    for (let passed = 0; passed < length; passed += TICK) {
      timers.advance(TICK);
      completion.tick(timers.now());
      await settle();
    }
  }

  it('takes the word of a relay that has seen every change', async () => {
    reports = { second: report(true, 12) };
    await pass(1000);
    expect(history.hasMissed).to.equal(false);
    expect(asked).to.equal(2);
  });

  it('takes no report of a relay that ends before the gap, and then no row', async () => {
    reports = { first: report(true, 9) };
    await pass(1000);
    expect(history.hasMissed).to.equal(true);
    expect(rowReads).to.equal(0);
  });

  it('goes by the row once every relay says that it has missed changes as well', async () => {
    reports = { first: report(false, 12) };
    await pass(1000);
    expect(rowReads).to.equal(0);
    reports = { first: report(false, 12), second: report(false, 12) };
    await pass(1000);
    expect(rowReads).to.equal(1);
  });

  // Guards against a whole fleet that asks without end what nobody knows, as after a restore of the store.
  it('asks less and less often while nobody can tell', async () => {
    await pass(30_000);
    expect(asked / 2).to.be.at.most(6);
  });
});
