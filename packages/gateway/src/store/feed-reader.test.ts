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
  readonly respond: (result: FeedResult) => void;
}

/** A table whose responses the test provides. */
class ScriptedSource extends FeedSource {
  override readonly name = 'table';
  readonly calls: Call[] = [];

  override readAll(): Promise<FeedResult> {
    return this.#call('all');
  }

  override readChanges(
    _after: Revision,
    mode: FeedReadMode,
  ): Promise<FeedResult> {
    return this.#call(mode);
  }

  #call(kind: Call['kind']): Promise<FeedResult> {
    return new Promise(respond => {
      this.calls.push({ kind, respond });
    });
  }
}

const page = succeed({ rows: [], revision: revision(7) });
const unreachable = fail({ kind: 'unreachable', detail: 'test' } as const);

async function startReader(pause = milliseconds(0)) {
  const source = new ScriptedSource();
  const timers = new ManualTimerService();
  const events: string[] = [];
  const record = (event: string) => () => {
    events.push(event);
  };
  new FeedReader({
    source,
    timers,
    random: new Random(1),
    changeFeedPause: () => pause,
    log: { write: () => undefined } as unknown as DecisionLog,
    listener: {
      onSnapshot: record('snapshot'),
      onChanges: record('changes'),
      onRecovered: record('recovered'),
      onFailure: record('failed'),
    },
  }).start();
  const respond = async (result: FeedResult) => {
    source.calls.at(-1)?.respond(result);
    await new Promise(resolve => setImmediate(resolve));
    timers.advance(seconds(1));
    await new Promise(resolve => setImmediate(resolve));
  };
  await new Promise(resolve => setImmediate(resolve));
  return { respond, events, kinds: () => source.calls.map(({ kind }) => kind) };
}

describe('FeedReader', () => {
  it('reads all rows once and then long-polls for changes', async () => {
    const { respond, events, kinds } = await startReader();
    await respond(page);
    await respond(page);
    expect(kinds()).to.deep.equal(['all', 'long-poll', 'long-poll']);
    expect(events).to.deep.equal(['snapshot', 'changes']);
  });

  it('requests an immediate response after a failure, as a long poll does not show whether the store works', async () => {
    const { respond, events, kinds } = await startReader();
    await respond(page);
    await respond(unreachable);
    await respond(unreachable);
    await respond(page);
    expect(kinds()).to.deep.equal([
      'all',
      'long-poll',
      'immediate',
      'immediate',
      'long-poll',
    ]);
    expect(events).to.deep.equal([
      'snapshot',
      'failed',
      'failed',
      'recovered',
      'changes',
    ]);
  });

  it('waits before it requests more changes, so that a burst in a large fleet costs few calls', async () => {
    const { respond, kinds } = await startReader(seconds(1.5));
    const change = succeed({
      rows: [{ key: 'e', value: undefined }],
      revision: revision(8),
    });
    await respond(page);
    await respond(change);
    expect(kinds()).to.deep.equal(['all', 'long-poll']);
    await respond(change);
    expect(kinds()).to.deep.equal(['all', 'long-poll', 'long-poll']);
  });

  it('reads all rows again when the store has lost its history', async () => {
    const { respond, kinds } = await startReader();
    await respond(page);
    await respond(fail({ kind: 'history-lost' }));
    await respond(page);
    expect(kinds()).to.deep.equal(['all', 'long-poll', 'all', 'long-poll']);
  });
});
