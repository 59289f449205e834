import { expect } from 'chai';

import { Random } from '@sesamegrade/core/random/random';
import { FeedCoverage } from '@sesamegrade/core/store/feed-coverage';
import { StoreClock } from '@sesamegrade/core/store/store-clock';
import { revision, storeEra } from '@sesamegrade/core/store/feed-position';
import type { Revision } from '@sesamegrade/core/store/feed-position';
import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import { fail, succeed } from '@sesamegrade/core/types/result';
import { routerId } from '@sesamegrade/core/types/ids';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { DecisionLog } from '../logs/decision-log';
import { FeedReader } from './feed-reader';
import type { FeedListener } from './feed-reader';
import { FeedSource } from './feed-source';
import type { FeedPage, FeedResult } from './feed-source';

const BOUND = seconds(2);

interface Call {
  readonly kind: 'all' | 'long-poll' | 'immediate';
  readonly after: Revision | undefined;
  readonly respond: (result: FeedResult) => void;
}

/** A table whose responses the test provides. */
class ScriptedSource extends FeedSource {
  override readonly name = 'table';
  readonly calls: Call[] = [];

  override readAll(): Promise<FeedResult> {
    return this.#call('all', undefined);
  }

  override readChanges(
    after: Revision,
    maxWait: Milliseconds,
  ): Promise<FeedResult> {
    return this.#call(maxWait > 0 ? 'long-poll' : 'immediate', after);
  }

  #call(kind: Call['kind'], after: Revision | undefined): Promise<FeedResult> {
    return new Promise(respond => {
      this.calls.push({ kind, after, respond });
    });
  }
}

const at = (version: number, era = 1) => ({
  era: storeEra(era),
  revision: revision(version),
});
const page = (version: number, era = 1) =>
  succeed({ rows: [], position: at(version, era) });
const unreachable = fail({ kind: 'unreachable', detail: 'test' } as const);

const turn = () => new Promise(resolve => setImmediate(resolve));

async function startReader({ isReader = true } = {}) {
  const source = new ScriptedSource();
  const timers = new ManualTimerService();
  const random = new Random(1);
  const coverage = new FeedCoverage({ bound: BOUND, random });
  const events: string[] = [];
  const confirm = ({ position }: FeedPage, origin = 'self') => {
    const confirmedAt = timers.now();
    coverage.record({ origin: routerId(origin), position, confirmedAt });
  };
  const listener: FeedListener = {
    onList: list => {
      events.push('list');
      confirm(list);
    },
    onChanges: changes => {
      events.push('changes');
      confirm(changes);
    },
    onRecovered: () => {
      events.push('recovered');
    },
  };
  let isOnDuty = isReader;
  const reader = new FeedReader({
    source,
    coverage,
    clock: new StoreClock(),
    bound: BOUND,
    timers,
    random,
    backgroundTasks: new BackgroundTasks(({ error }) => {
      throw error;
    }),
    isReader: () => isOnDuty,
    log: { write: () => undefined } as unknown as DecisionLog,
    listener,
  });
  reader.start();
  await turn();
  return {
    reader,
    coverage,
    events,
    kinds: () => source.calls.map(({ kind }) => kind),
    lastAfter: () => source.calls.at(-1)?.after,
    setReader: (value: boolean) => {
      isOnDuty = value;
      reader.onDutyChanged();
    },
    /** Answers the last call and lets up to `wait` pass. */
    respond: async (result: FeedResult, wait = seconds(0)) => {
      source.calls.at(-1)?.respond(result);
      await turn();
      timers.advance(wait);
      await turn();
    },
    /** Lets time pass in steps in which a peer confirms the table. */
    covered: async (duration: Milliseconds, version: number, era = 1) => {
      for (let passed = 0; passed < duration; passed += 400) {
        confirm({ rows: [], position: at(version, era) }, 'peer');
        timers.advance(milliseconds(400));
        await turn();
      }
    },
    pass: async (duration: Milliseconds) => {
      timers.advance(duration);
      await turn();
    },
  };
}

describe('FeedReader', () => {
  it('reads all rows once and then long-polls for changes while it reads for the fleet', async () => {
    const { respond, events, kinds } = await startReader();
    await respond(page(7));
    await respond(page(8));
    expect(kinds()).to.deep.equal(['all', 'long-poll', 'long-poll']);
    expect(events).to.deep.equal(['list', 'changes']);
  });

  it('requests an immediate response after a failure, as a long poll does not show whether the store works', async () => {
    const { respond, events, kinds } = await startReader();
    await respond(page(7));
    await respond(unreachable, seconds(1));
    await respond(unreachable, seconds(1));
    await respond(page(8));
    expect(kinds()).to.deep.equal([
      'all',
      'long-poll',
      'immediate',
      'immediate',
      'long-poll',
    ]);
    expect(events).to.deep.equal(['list', 'recovered', 'changes']);
  });

  it('reads all rows again when the store has lost its history', async () => {
    const { respond, kinds } = await startReader();
    await respond(page(7));
    await respond(fail({ kind: 'history-lost' }));
    await respond(page(9));
    expect(kinds()).to.deep.equal(['all', 'long-poll', 'all', 'long-poll']);
  });

  it('makes no call for minutes while a peer confirms the table, and one well within the bound after the last confirmation', async () => {
    const { respond, covered, pass, kinds, lastAfter } = await startReader({
      isReader: false,
    });
    await respond(page(7));
    await covered(seconds(120), 40);
    expect(kinds()).to.deep.equal(['all']);
    await pass(milliseconds(BOUND * 0.65 - 400));
    expect(kinds()).to.deep.equal(['all', 'immediate']);
    expect(lastAfter()).to.equal(40);
  });

  it('does not take its own failure of long ago for an outage when it reads again', async () => {
    const { respond, covered, pass, events } = await startReader({
      isReader: false,
    });
    await respond(page(7));
    await pass(milliseconds(BOUND * 0.65));
    await respond(unreachable);
    await covered(seconds(10), 20);
    await pass(milliseconds(BOUND * 0.65));
    await respond(page(21));
    expect(events).to.deep.equal(['list', 'changes']);
  });

  it('begins to long-poll as soon as it is to read for the fleet', async () => {
    const { respond, setReader, kinds } = await startReader({
      isReader: false,
    });
    await respond(page(7));
    setReader(true);
    await turn();
    await respond(page(7));
    expect(kinds()).to.deep.equal(['all', 'immediate', 'long-poll']);
  });

  it('reads all rows again when the store was restored, although its revisions are higher by now', async () => {
    const { respond, events, kinds } = await startReader();
    await respond(page(7, 1));
    await respond(page(50, 2));
    await respond(page(51, 2));
    expect(kinds()).to.deep.equal(['all', 'long-poll', 'all', 'long-poll']);
    expect(events).to.deep.equal(['list', 'list']);
  });

  it('reads all rows again when a peer has seen the restore first, and ignores a response from before it', async () => {
    const { reader, respond, events, kinds } = await startReader({
      isReader: false,
    });
    await respond(page(7, 1));
    reader.onNewerEra(storeEra(2));
    reader.onNewerEra(storeEra(1));
    await turn();
    await respond(page(3, 2));
    expect(kinds()).to.deep.equal(['all', 'all']);
    reader.readNow();
    await turn();
    await respond(page(99, 1), seconds(1));
    expect(events).to.deep.equal(['list', 'list']);
    expect(kinds().at(-1)).to.equal('immediate');
  });
});
