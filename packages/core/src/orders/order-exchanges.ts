/**
 * Starts exchanges (a request and its response) with the table service, one at
 * a time for each order.
 */
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

/** An exchange whose response was received, with its order. */
export interface CompletedExchange extends PendingExchange {
  readonly order: Order;
}

export class OrderExchanges {
  readonly #orders: OrderIndex;
  readonly #router: RouterId;
  readonly #backoff: Backoff;
  readonly #byTicket = new Map<number, OrderId>();
  #lastTicket = 0;

  constructor(
    orders: OrderIndex,
    router: RouterId,
    random: Random,
    settings: OrderSettings,
  ) {
    this.#orders = orders;
    this.#router = router;
    this.#backoff = new Backoff(random, {
      base: settings.initialBackoff,
      cap: settings.maxBackoff,
    });
  }

  /** Ends and returns the exchange of a ticket; undefined when it has already ended. */
  complete(ticket: number): CompletedExchange | undefined {
    const id = this.#byTicket.get(ticket);
    this.#byTicket.delete(ticket);
    const order = id === undefined ? undefined : this.#orders.get(id);
    const pending = order?.exchange;
    if (!order || pending?.ticket !== ticket) {
      return undefined;
    }
    return {
      ...pending,
      order: this.#orders.update(order, { exchange: undefined }),
    };
  }

  /**
   * Delays the next exchange by the minimum plus an exponential back-off with
   * full jitter.
   */
  pause(order: Order, minimum: Milliseconds, now: Instant): void {
    const pause = milliseconds(minimum + this.#backoff.delay(order.failures));
    this.#orders.update(order, {
      resumeAt: addTime(now, pause),
      failures: order.failures + 1,
    });
  }

  /**
   * Starts the next exchange of an order, if it needs one now. Returns true when
   * the order's final state needs no further exchange.
   */
  advance(id: OrderId, now: Instant): boolean {
    const order = this.#orders.get(id);
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
    const ticket = this.#startExchange(order, undefined, now);
    this.#orders.queueCommand({
      kind: 'read',
      ticket,
      table: ORDER_TABLE,
      key: order.id,
    });
  }

  #write(order: Order, state: OrderState, now: Instant): void {
    const ticket = this.#startExchange(order, state.kind, now);
    this.#orders.queueCommand({
      kind: 'write',
      ticket,
      operations: [orderWrite(order, this.#router, state)],
    });
  }

  #startExchange(
    order: Order,
    writes: OrderState['kind'] | undefined,
    now: Instant,
  ): number {
    this.#lastTicket += 1;
    const ticket = this.#lastTicket;
    this.#byTicket.set(ticket, order.id);
    this.#orders.update(order, {
      exchange: { ticket, startedAt: now, writes },
    });
    return ticket;
  }
}

/** Returns the pause that the store asked for; 0 when it asked for none. */
export function requestedPause(
  response: WriteResponse | ReadResponse,
): Milliseconds {
  return milliseconds(
    response.kind === 'rate-limited' ? response.retryAfterMs : 0,
  );
}
