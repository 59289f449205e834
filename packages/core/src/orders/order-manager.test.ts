import { expect } from 'chai';

import { Random } from '../random/random';
import { SilentRecorder } from '../timeline/event';
import {
  fingerprint,
  idempotencyKey,
  requestId,
  routerId,
  serviceId,
  teamId,
} from '../types/ids';
import type { ReadResponse, WriteResponse } from '../types/platform';
import type { Instant } from '../types/units';
import { instant } from '../types/units';
import type { OrderCall, OrderCommand } from './order';
import { OrderManager } from './order-manager';
import type { OrderState, RecordedResult } from './order-row';
import { encodeOrderRow, orderId } from './order-row';
import { OrderRules } from './order-rules';
import { DEFAULT_ORDER_SETTINGS } from './order-settings';

const router = routerId('router-1');
const team = teamId('team');
const service = serviceId('registry');
const result: RecordedResult = {
  status: 201,
  contentType: 'text/plain',
  body: { kind: 'inline', base64: 'b2s=' },
};

function call(name: string, body = 'body', deadline = 60_000): OrderCall {
  return {
    request: requestId(name),
    team,
    service,
    key: idempotencyKey('key'),
    fingerprint: fingerprint(body),
    deadline: instant(deadline),
  };
}

function row(state: OrderState, token: string, body = 'body'): ReadResponse {
  const key = orderId(team, service, idempotencyKey('key'));
  const value = encodeOrderRow({
    token: token as never,
    fingerprint: fingerprint(body),
    router,
    state,
  });
  return { kind: 'found', row: { table: 'orders', key, version: 9, value } };
}

const committed: WriteResponse = { kind: 'committed', versions: [1] };

describe('OrderBook', () => {
  let book: OrderManager;
  let now: Instant;
  let last: readonly OrderCommand[];

  /** Runs a message and keeps the kinds of the commands that it gave. */
  function run(message: () => void): string[] {
    message();
    last = book.takeCommands();
    return last.map(command =>
      command.kind === 'refuse'
        ? `${command.reason.kind} ${command.outcome}`
        : command.kind,
    );
  }

  function ticket(): number {
    const [command] = last;
    return command && 'ticket' in command ? command.ticket : -1;
  }

  const begin = (order: OrderCall) =>
    run(() => {
      book.begin(order, now);
    });
  const wrote = (answer: WriteResponse) =>
    run(() => {
      book.onWriteResponse(ticket(), answer, now);
    });
  const read = (answer: ReadResponse) =>
    run(() => {
      book.onReadResponse(ticket(), answer, now);
    });
  const later = (ms: number) => {
    now = instant(now + ms);
    return run(() => {
      book.tick(now);
    });
  };

  beforeEach(() => {
    now = instant(0);
    book = new OrderManager({
      router,
      tokenPrefix: 'r1',
      random: new Random(1),
      recorder: new SilentRecorder(),
      settings: DEFAULT_ORDER_SETTINGS,
      rules: new OrderRules(),
    });
  });

  it('sends once after a confirmed insert and replays to a second caller', () => {
    expect(begin(call('a'))).to.deep.equal(['write']);
    expect(wrote(committed)).to.deep.equal(['send']);
    expect(book.permitSend(requestId('a'), now)).to.equal(true);
    expect(book.permitSend(requestId('a'), now)).to.equal(false);
    expect(begin(call('b'))).to.deep.equal([]);
    expect(begin(call('c', 'other'))).to.deep.equal(['key-conflict not_run']);
    const finish = () => {
      book.onResponse(requestId('a'), result, now);
    };
    expect(run(finish)).to.deep.equal(['replay', 'write']);
    last = last.slice(1);
    expect(wrote(committed)).to.deep.equal([]);
    expect(book.openCount).to.equal(0);
  });

  it('settles a lost answer by reading back for its own token', () => {
    begin(call('a'));
    expect(wrote({ kind: 'unknown' })).to.deep.equal([]);
    expect(later(30)).to.deep.equal(['read']);
    expect(read(row({ kind: 'claimed' }, 'r1.1'))).to.deep.equal(['send']);
  });

  it('never sends for another claim, and gives its answer once it is there', () => {
    begin(call('a'));
    expect(wrote({ kind: 'conflict', operation: 0 })).to.deep.equal(['read']);
    expect(read(row({ kind: 'claimed' }, 'r2.1'))).to.deep.equal([]);
    expect(book.permitSend(requestId('a'), now)).to.equal(false);
    expect(later(100)).to.deep.equal(['read']);
    expect(read(row({ kind: 'done', result }, 'r2.1'))).to.deep.equal([
      'replay',
    ]);
  });

  it('says unknown when it stops waiting for another claim', () => {
    begin(call('a', 'body', 1000));
    wrote({ kind: 'conflict', operation: 0 });
    read({ kind: 'unavailable' });
    expect(later(1000)[0]).to.equal('order-unsettled unknown');
  });

  it('refuses with not_run while the store is down before the insert', () => {
    begin(call('a'));
    wrote({ kind: 'unavailable' });
    now = instant(2100);
    expect(later(0)).to.deep.equal(['store-unavailable not_run']);
    expect(book.openCount).to.equal(0);
  });

  it('withdraws over a write that may still be under way', () => {
    begin(call('a', 'body', 1000));
    wrote({ kind: 'unknown' });
    later(30);
    read({ kind: 'absent' });
    expect(later(1000)).to.deep.equal(['deadline-exceeded not_run', 'write']);
    last = last.slice(1);
    const [write] = last;
    expect(write?.kind === 'write' && write.operations[0]).to.deep.include({
      condition: { kind: 'absent' },
    });
    wrote(committed);
    expect(book.counts.withdrawn).to.equal(1);
  });

  it('confirms a stale claim again before it sends', () => {
    begin(call('a'));
    wrote(committed);
    now = instant(5001);
    const permit = () =>
      expect(book.permitSend(requestId('a'), now)).to.equal(false);
    expect(run(permit)).to.deep.equal(['read']);
    const takenOver = read(row({ kind: 'done', result }, 'r2.7'));
    expect(takenOver).to.deep.equal(['replay']);
  });

  it('marks a lost answer as unsettled and says unknown to all who wait', () => {
    begin(call('a'));
    wrote(committed);
    book.permitSend(requestId('a'), now);
    begin(call('b'));
    const lose = () => {
      book.onResponseLost(requestId('a'), now);
    };
    expect(run(lose)).to.deep.equal(['order-unsettled unknown', 'write']);
  });

  it('leaves rows of a newer format and corrupted rows alone', () => {
    for (const value of [{ format: 2 }, { format: 1, token: 4 }, null]) {
      begin(call('a'));
      wrote({ kind: 'conflict', operation: 0 });
      const found = { table: 'orders', key: 'k', version: 1, value };
      const answer = read({ kind: 'found', row: found });
      expect(answer).to.deep.equal(['order-unsettled unknown']);
    }
    expect(book.counts.unreadable).to.equal(3);
  });
});
