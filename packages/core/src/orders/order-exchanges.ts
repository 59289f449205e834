/** Starts exchanges with the table service for orders, one at a time for each. */
import type { Random } from '../random/random';
import { Backoff } from '../retries/backoff';
import type { RouterId } from '../types/ids';
import type { ReadResponse, WriteResponse } from '../types/platform';
import type { Instant, Milliseconds } from '../types/units';
import { addTime, milliseconds } from '../types/units';
import type { PendingExchange, Order } from './order';
import { nextOrderStep, orderWrite } from './order-step';
import type { OrderIndex } from './order-index';
import type { OrderId, OrderState } from './order-row';
import { ORDER_TABLE } from './order-row';
import type { OrderSettings } from './order-settings';

/** An exchange that was answered. */
export interface CompletedExchange extends PendingExchange {
  readonly order: Order;
}

export class OrderExchanges {
  readonly #ledger: OrderIndex;
  readonly #router: RouterId;
  readonly #backoff: Backoff;
  readonly #byTicket = new Map<number, OrderId>();
  #lastTicket = 0;

  constructor(
    ledger: OrderIndex,
    router: RouterId,
    random: Random,
    settings: OrderSettings,
  ) {
    this.#ledger = ledger;
    this.#router = router;
    this.#backoff = new Backoff(random, {
      base: settings.initialBackoff,
      cap: settings.maxBackoff,
    });
  }

  /** Closes the exchange of a ticket; undefined when it is not open any more. */
  complete(ticket: number): CompletedExchange | undefined {
    const id = this.#byTicket.get(ticket);
    this.#byTicket.delete(ticket);
    const order = id === undefined ? undefined : this.#ledger.get(id);
    const open = order?.exchange;
    if (!order || open?.ticket !== ticket) {
      return undefined;
    }
    return {
      ...open,
      order: this.#ledger.update(order, { exchange: undefined }),
    };
  }

  /** Puts off the next exchange, longer each time, with full jitter above the minimum. */
  pause(order: Order, minimum: Milliseconds, now: Instant): void {
    const pause = milliseconds(minimum + this.#backoff.delay(order.failures));
    this.#ledger.update(order, {
      resumeAt: addTime(now, pause),
      failures: order.failures + 1,
    });
  }

  /**
   * Starts the exchange that brings the order on, if one is due. Returns true
   * when the order is closing and needs no more of them.
   */
  advance(id: OrderId, now: Instant): boolean {
    const order = this.#ledger.get(id);
    if (!order || order.exchange || order.resumeAt > now) {
      return false;
    }
    const step = nextOrderStep(order);
    if (step.kind === 'read') {
      this.#read(order, now);
    } else if (step.kind === 'write') {
      this.#write(order, step.state, now);
    }
    return step.kind === 'settled';
  }

  #read(order: Order, now: Instant): void {
    const ticket = this.#open(order, undefined, now);
    this.#ledger.queueCommand({
      kind: 'read',
      ticket,
      table: ORDER_TABLE,
      key: order.id,
    });
  }

  #write(order: Order, state: OrderState, now: Instant): void {
    const ticket = this.#open(order, state.kind, now);
    this.#ledger.queueCommand({
      kind: 'write',
      ticket,
      operations: [orderWrite(order, this.#router, state)],
    });
  }

  #open(
    order: Order,
    writes: OrderState['kind'] | undefined,
    now: Instant,
  ): number {
    this.#lastTicket += 1;
    const ticket = this.#lastTicket;
    this.#byTicket.set(ticket, order.id);
    this.#ledger.update(order, {
      exchange: { ticket, startedAt: now, writes },
    });
    return ticket;
  }
}

/** Pause that the store asked for. */
export function requestedPause(
  answer: WriteResponse | ReadResponse,
): Milliseconds {
  return milliseconds(answer.kind === 'rate-limited' ? answer.retryAfterMs : 0);
}
