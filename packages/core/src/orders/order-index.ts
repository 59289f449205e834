/**
 * Open orders of a router, indexed by id and by caller's request, with the
 * queue of their commands.
 */
import { Table } from '../table/table';
import type { EventRecorder } from '../timeline/event';
import type { RequestId, RouterId } from '../types/ids';
import type { Outcome } from '../types/outcome';
import type { RefusalReason } from '../types/refusal';
import type { Order, OrderCall, OrderCommand } from './order';
import type { OrderId, RecordedResult } from './order-row';

/** Event counts since the order manager was created. */
export interface OrderCounts {
  claimed: number;
  settled: number;
  withdrawn: number;
  replayed: number;
  refused: number;
  /** Reads that found a corrupt row or one of a newer format. */
  unreadable: number;
  /** Orders whose final state could not be written in time. */
  abandoned: number;
}

type OrderFields = Partial<Omit<Order, 'id'>>;

export class OrderIndex {
  readonly counts: OrderCounts = {
    claimed: 0,
    settled: 0,
    withdrawn: 0,
    replayed: 0,
    refused: 0,
    unreadable: 0,
    abandoned: 0,
  };
  readonly #orders = new Table<OrderId, Order>();
  readonly #byRequest = new Map<RequestId, OrderId>();
  readonly #router: RouterId;
  readonly #recorder: EventRecorder;
  #commands: OrderCommand[] = [];

  constructor(router: RouterId, recorder: EventRecorder) {
    this.#router = router;
    this.#recorder = recorder;
  }

  get size(): number {
    return this.#orders.size;
  }

  rows(): IterableIterator<Order> {
    return this.#orders.rows();
  }

  get(id: OrderId): Order | undefined {
    return this.#orders.get(id);
  }

  hasRequest(request: RequestId): boolean {
    return this.#byRequest.has(request);
  }

  findByRequest(request: RequestId): Order | undefined {
    const id = this.#byRequest.get(request);
    return id === undefined ? undefined : this.#orders.get(id);
  }

  /** Returns the current entry of an order; `order` itself when it was removed. */
  current(order: Order): Order {
    return this.#orders.get(order.id) ?? order;
  }

  /** Adds an order and indexes its callers' requests. */
  put(order: Order): void {
    this.#orders.put(order);
    for (const { request } of order.callers) {
      this.#byRequest.set(request, order.id);
    }
  }

  /** Updates some fields and returns the new entry. */
  update(order: Order, fields: OrderFields): Order {
    this.#orders.patch(order.id, fields);
    return this.current(order);
  }

  remove(order: Order): void {
    this.#orders.delete(order.id);
  }

  addCaller(order: Order, call: OrderCall): void {
    this.#byRequest.set(call.request, order.id);
    this.update(order, { callers: [...this.current(order).callers, call] });
  }

  removeCaller(order: Order, request: RequestId): Order {
    this.#byRequest.delete(request);
    const { callers } = this.current(order);
    return this.update(order, {
      callers: callers.filter(call => call.request !== request),
    });
  }

  queueCommand(command: OrderCommand): void {
    this.#commands.push(command);
  }

  takeCommands(): readonly OrderCommand[] {
    const commands = this.#commands;
    this.#commands = [];
    return commands;
  }

  /** Queues a command that sends the first caller's request. */
  queueSend(order: Order): void {
    const [sender] = order.callers;
    if (sender) {
      this.queueCommand({ kind: 'send', request: sender.request });
    }
  }

  replay(request: RequestId, result: RecordedResult): void {
    this.counts.replayed += 1;
    this.queueCommand({ kind: 'replay', request, result });
  }

  replayToAll(order: Order, result: RecordedResult): void {
    for (const { request } of order.callers) {
      this.replay(request, result);
      this.removeCaller(order, request);
    }
  }

  refuse(call: OrderCall, reason: RefusalReason, outcome: Outcome): void {
    const { request } = call;
    this.counts.refused += 1;
    this.queueCommand({ kind: 'refuse', request, reason, outcome });
  }

  refuseAll(order: Order, reason: RefusalReason, outcome: Outcome): void {
    for (const call of order.callers) {
      this.refuse(call, reason, outcome);
      this.removeCaller(order, call.request);
    }
  }

  record(
    kind: 'order-recorded' | 'order-settled' | 'order-withdrawn',
    order: Order,
  ): void {
    this.#recorder.record(kind, {
      router: this.#router,
      order: order.id,
      attempt: order.token,
    });
  }
}
