import { expect } from 'chai';

import { Random } from '../random/random';
import { NoopEventRecorder } from '../timeline/event';
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

describe('OrderManager', () => {
  let manager: OrderManager;
  let now: Instant;
  let lastCommands: readonly OrderCommand[];

  /**
   * Calls a handler; returns the kinds of the commands that it queued, and
   * reasons of refusals.
   */
  function handle(event: () => void): string[] {
    event();
    lastCommands = manager.takeCommands();
    return lastCommands.map(command =>
      command.kind === 'refuse'
        ? `${command.reason.kind} ${command.outcome}`
        : command.kind,
    );
  }

  function ticket(): number {
    const [command] = lastCommands;
    return command && 'ticket' in command ? command.ticket : -1;
  }

  const begin = (order: OrderCall) =>
    handle(() => {
      manager.begin(order, now);
    });
  const onWrite = (response: WriteResponse) =>
    handle(() => {
      manager.onWriteResponse(ticket(), response, now);
    });
  const onRead = (response: ReadResponse) =>
    handle(() => {
      manager.onReadResponse(ticket(), response, now);
    });
  const later = (ms: number) => {
    now = instant(now + ms);
    return handle(() => {
      manager.tick(now);
    });
  };

  beforeEach(() => {
    now = instant(0);
    manager = new OrderManager({
      router,
      tokenPrefix: 'r1',
      random: new Random(1),
      recorder: new NoopEventRecorder(),
      settings: DEFAULT_ORDER_SETTINGS,
      rules: new OrderRules(),
    });
  });

  it('sends once after a confirmed claim and replays the result to a second caller', () => {
    expect(begin(call('a'))).to.deep.equal(['write']);
    expect(onWrite(committed)).to.deep.equal(['send']);
    expect(manager.permitSend(requestId('a'), now)).to.equal(true);
    expect(manager.permitSend(requestId('a'), now)).to.equal(false);
    expect(begin(call('b'))).to.deep.equal([]);
    expect(begin(call('c', 'other'))).to.deep.equal(['key-conflict not_run']);
    const finish = () => {
      manager.onResponse(requestId('a'), result, now);
    };
    expect(handle(finish)).to.deep.equal(['replay', 'write']);
    lastCommands = lastCommands.slice(1);
    expect(onWrite(committed)).to.deep.equal([]);
    expect(manager.openCount).to.equal(0);
  });

  it('settles a claim whose write response was lost by reading the row back for its own token', () => {
    begin(call('a'));
    expect(onWrite({ kind: 'unknown' })).to.deep.equal([]);
    expect(later(30)).to.deep.equal(['read']);
    expect(onRead(row({ kind: 'claimed' }, 'r1.1'))).to.deep.equal(['send']);
  });

  it('never sends under another claim, and replays its result once it is stored', () => {
    begin(call('a'));
    expect(onWrite({ kind: 'conflict', operation: 0 })).to.deep.equal(['read']);
    expect(onRead(row({ kind: 'claimed' }, 'r2.1'))).to.deep.equal([]);
    expect(manager.permitSend(requestId('a'), now)).to.equal(false);
    expect(later(100)).to.deep.equal(['read']);
    expect(onRead(row({ kind: 'done', result }, 'r2.1'))).to.deep.equal([
      'replay',
    ]);
  });

  it('reports unknown when a caller stops waiting for another claim', () => {
    begin(call('a', 'body', 1000));
    onWrite({ kind: 'conflict', operation: 0 });
    onRead({ kind: 'unavailable' });
    expect(later(1000)[0]).to.equal('order-unsettled unknown');
  });

  it('refuses with not_run when the store is down before the claim was written', () => {
    begin(call('a'));
    onWrite({ kind: 'unavailable' });
    now = instant(2100);
    expect(later(0)).to.deep.equal(['store-unavailable not_run']);
    expect(manager.openCount).to.equal(0);
  });

  it('withdraws with a condition that defeats a claim write still in transit', () => {
    begin(call('a', 'body', 1000));
    onWrite({ kind: 'unknown' });
    later(30);
    onRead({ kind: 'absent' });
    expect(later(1000)).to.deep.equal(['deadline-exceeded not_run', 'write']);
    lastCommands = lastCommands.slice(1);
    const [write] = lastCommands;
    expect(write?.kind === 'write' && write.operations[0]).to.deep.include({
      condition: { kind: 'absent' },
    });
    onWrite(committed);
    expect(manager.counts.withdrawn).to.equal(1);
  });

  it('confirms a stale claim again before it sends', () => {
    begin(call('a'));
    onWrite(committed);
    now = instant(5001);
    const permit = () =>
      expect(manager.permitSend(requestId('a'), now)).to.equal(false);
    expect(handle(permit)).to.deep.equal(['read']);
    const takenOver = onRead(row({ kind: 'done', result }, 'r2.7'));
    expect(takenOver).to.deep.equal(['replay']);
  });

  it('stores a lost response as unsettled and reports unknown to all waiting callers', () => {
    begin(call('a'));
    onWrite(committed);
    manager.permitSend(requestId('a'), now);
    begin(call('b'));
    const lose = () => {
      manager.onResponseLost(requestId('a'), now);
    };
    expect(handle(lose)).to.deep.equal(['order-unsettled unknown', 'write']);
  });

  it('does not overwrite rows of a newer format or corrupt rows', () => {
    for (const value of [{ format: 2 }, { format: 1, token: 4 }, null]) {
      begin(call('a'));
      onWrite({ kind: 'conflict', operation: 0 });
      const found = { table: 'orders', key: 'k', version: 1, value };
      const response = onRead({ kind: 'found', row: found });
      expect(response).to.deep.equal(['order-unsettled unknown']);
    }
    expect(manager.counts.unreadable).to.equal(3);
  });
});
