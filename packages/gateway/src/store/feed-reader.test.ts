import { expect } from 'chai';

import { Random } from '@sesamegrade/core/random/random';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import { fail, succeed } from '@sesamegrade/core/types/result';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { DecisionLog } from '../logs/decision-log';
import { FeedReader } from './feed-reader';
import { FeedSource, revision } from './feed-source';
import type { FeedReadMode, FeedResult, Revision } from './feed-source';

interface Call {
  readonly kind: 'all' | FeedReadMode;
  readonly answer: (result: FeedResult) => void;
}

/** A table whose answers the test gives. */
class ScriptedSource extends FeedSource {
  override readonly name = 'table';
  readonly calls: Call[] = [];

  override readAll(): Promise<FeedResult> {
    return this.#call('all');
  }

  override readChanges(
    _after: Revision,
    hold: FeedReadMode,
  ): Promise<FeedResult> {
    return this.#call(hold);
  }

  #call(kind: Call['kind']): Promise<FeedResult> {
    return new Promise(answer => {
      this.calls.push({ kind, answer });
    });
  }
}

const page = succeed({ rows: [], revision: revision(7) });
const unreachable = fail({ kind: 'unreachable', detail: 'test' } as const);

async function follow(changesPause = milliseconds(0)) {
  const source = new ScriptedSource();
  const timers = new ManualTimerService();
  const events: string[] = [];
  const note = (event: string) => () => {
    events.push(event);
  };
  new FeedReader({
    source,
    timers,
    random: new Random(1),
    changeFeedPause: () => changesPause,
    log: { write: () => undefined } as unknown as DecisionLog,
    listener: {
      onSnapshot: note('snapshot'),
      onChanges: note('changes'),
      onRecovered: note('returned'),
      onFailure: note('lost'),
    },
  }).start();
  const answer = async (result: FeedResult) => {
    source.calls.at(-1)?.answer(result);
    await new Promise(resolve => setImmediate(resolve));
    timers.advance(seconds(1));
    await new Promise(resolve => setImmediate(resolve));
  };
  await new Promise(resolve => setImmediate(resolve));
  return { answer, events, kinds: () => source.calls.map(({ kind }) => kind) };
}

describe('FeedFollower', () => {
  it('reads everything once and then waits for changes', async () => {
    const { answer, events, kinds } = await follow();
    await answer(page);
    await answer(page);
    expect(kinds()).to.deep.equal(['all', 'held', 'held']);
    expect(events).to.deep.equal(['snapshot', 'changes']);
  });

  it('after a failure asks for an answer at once, as a held call tells nothing of a silent store', async () => {
    const { answer, events, kinds } = await follow();
    await answer(page);
    await answer(unreachable);
    await answer(unreachable);
    await answer(page);
    expect(kinds()).to.deep.equal([
      'all',
      'held',
      'at-once',
      'at-once',
      'held',
    ]);
    expect(events).to.deep.equal([
      'snapshot',
      'lost',
      'lost',
      'returned',
      'changes',
    ]);
  });

  it('lets changes of a large fleet gather before it asks again', async () => {
    const { answer, kinds } = await follow(seconds(1.5));
    const change = succeed({
      rows: [{ key: 'e', value: undefined }],
      revision: revision(8),
    });
    await answer(page);
    await answer(change);
    expect(kinds()).to.deep.equal(['all', 'held']);
    await answer(change);
    expect(kinds()).to.deep.equal(['all', 'held', 'held']);
  });

  it('reads everything again when the history is lost', async () => {
    const { answer, kinds } = await follow();
    await answer(page);
    await answer(fail({ kind: 'history-lost' }));
    await answer(page);
    expect(kinds()).to.deep.equal(['all', 'held', 'all', 'held']);
  });
});
