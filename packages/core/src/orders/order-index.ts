/** The orders that a router holds, their callers, and the commands given for them. */
import { Table } from '../table/table';
import type { EventRecorder } from '../timeline/event';
import type { RequestId, RouterId } from '../types/ids';
import type { Outcome } from '../types/outcome';
import type { RefusalReason } from '../types/refusal';
import type { Order, OrderCall, OrderCommand } from './order';
import type { OrderId, RecordedResult } from './order-row';

/** What an order book has seen since it was made. */
export interface OrderCounts {
  claimed: number;
  settled: number;
  withdrawn: number;
  replayed: number;
  refused: number;
  /** Rows that are corrupted or of a newer format. */
  unreadable: number;
  /** Last states that could not be written in time. */
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

  orders(): IterableIterator<Order> {
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

  /** The row as it is now; `order` itself when it was dropped. */
  current(order: Order): Order {
    return this.#orders.get(order.id) ?? order;
  }

  /** Adds an order with its callers. */
  put(order: Order): void {
    this.#orders.put(order);
    for (const { request } of order.callers) {
      this.#byRequest.set(request, order.id);
    }
  }

  /** Changes some fields and returns the row as it then is. */
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

  /** Asks for the first caller's request to be sent. */
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
