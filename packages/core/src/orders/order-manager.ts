/**
 * Runs orders, calls that must run at most once. A router claims an order by a
 * conditional write to the table service, and sends the call only after its own
 * claim was confirmed. If the response to that write is lost, the router reads
 * the row back and looks for its claim's token. No router sends under another
 * router's claim, so a router paused at any step may send late, but never twice.
 *
 * Methods handle events and queue commands, which `takeCommands` returns.
 */
import type { Random } from '../random/random';
import { PeriodicTask } from '../table/periodic-task';
import type { EventRecorder } from '../timeline/event';
import type { RequestId, RouterId } from '../types/ids';
import type { Outcome } from '../types/outcome';
import type { ReadResponse, WriteResponse } from '../types/platform';
import type { RefusalReason } from '../types/refusal';
import type { Instant } from '../types/units';
import { elapsed, seconds } from '../types/units';
import type { Order, OrderCall, OrderCommand, OrderStage } from './order';
import { OrderExchanges } from './order-exchanges';
import type { OrderCounts } from './order-index';
import { OrderIndex } from './order-index';
import type { OrderId, RecordedResult } from './order-row';
import { orderId } from './order-row';
import type { OrderRules } from './order-rules';
import { OrderSettlement } from './order-settlement';
import type { OrderSettings } from './order-settings';

export interface OrderManagerOptions {
  readonly router: RouterId;
  /** Unique to this process start, so that no two claims have the same token. */
  readonly tokenPrefix: string;
  readonly random: Random;
  readonly recorder: EventRecorder;
  readonly settings: OrderSettings;
  readonly rules: OrderRules;
}

/** An order whose request was sent. */
type SentOrder = Order & {
  readonly stage: Extract<OrderStage, { readonly kind: 'sent' }>;
};

const STORE_RETRY_AFTER = seconds(1);
const STOPPING_RETRY_AFTER = seconds(0);

export class OrderManager extends PeriodicTask {
  readonly #settings: OrderSettings;
  readonly #rules: OrderRules;
  readonly #orders: OrderIndex;
  readonly #settlement: OrderSettlement;
  #isStopping = false;

  constructor(options: OrderManagerOptions) {
    super();
    const { router, random, recorder, settings, rules } = options;
    this.#settings = settings;
    this.#rules = rules;
    this.#orders = new OrderIndex(router, recorder);
    this.#settlement = new OrderSettlement(
      this.#orders,
      new OrderExchanges(this.#orders, router, random, settings),
      rules,
      settings,
      options.tokenPrefix,
    );
  }

  get counts(): Readonly<OrderCounts> {
    return this.#orders.counts;
  }

  /** Number of orders that still need the store or an endpoint. */
  get openCount(): number {
    return this.#orders.size;
  }

  /** Returns the commands queued since the last call. */
  takeCommands(): readonly OrderCommand[] {
    return this.#orders.takeCommands();
  }

  /** Refuses calls with new keys from now on; open orders are completed. */
  stop(): void {
    this.#isStopping = true;
  }

  /**
   * Starts an order for a call, or adds the caller to the open order with the
   * same key.
   */
  begin(call: OrderCall, now: Instant): void {
    if (this.#orders.hasRequest(call.request)) {
      return;
    }
    const id = orderId(call.team, call.service, call.key);
    const existing = this.#orders.get(id);
    if (existing) {
      this.#join(existing, call);
      return;
    }
    if (this.#isStopping) {
      const retryAfter = STOPPING_RETRY_AFTER;
      this.#orders.refuse(call, { kind: 'stopping', retryAfter }, 'not_run');
      return;
    }
    if (this.#orders.size >= this.#settings.maxOrders) {
      this.#orders.refuse(call, storeUnavailable(), 'not_run');
      return;
    }
    this.#orders.put({
      id,
      token: this.#settlement.nextToken(),
      fingerprint: call.fingerprint,
      stage: { kind: 'claiming', since: now },
      view: { kind: 'unseen' },
      exchange: undefined,
      resumeAt: now,
      failures: 0,
      hasSeenOtherClaim: false,
      callers: [call],
    });
    this.#settlement.advance(id, now);
  }

  /**
   * Must be called immediately before the first byte is sent. False means that
   * the request must not be sent; another `send` command may follow.
   */
  permitSend(request: RequestId, now: Instant): boolean {
    const order = this.#orders.findByRequest(request);
    if (order?.stage.kind !== 'claimed') {
      return false;
    }
    const [sender] = order.callers;
    if (sender?.request !== request || sender.deadline <= now) {
      return false;
    }
    const { confirmedAt } = order.stage;
    if (!this.#rules.isFresh(confirmedAt, now, this.#settings.maxClaimAge)) {
      this.#orders.update(order, {
        stage: { kind: 'claiming', since: now },
      });
      this.#settlement.advance(order.id, now);
      return false;
    }
    this.#orders.update(order, { stage: { kind: 'sent', confirmedAt } });
    return true;
  }

  /** Handles an endpoint's refusal to run the call; the call may be sent again. */
  onRefused(request: RequestId): void {
    const order = this.#sentOrder(request);
    if (order) {
      const { confirmedAt } = order.stage;
      this.#orders.update(order, { stage: { kind: 'claimed', confirmedAt } });
    }
  }

  /** Handles the endpoint's complete response. */
  onResponse(request: RequestId, result: RecordedResult, now: Instant): void {
    const order = this.#sentOrder(request);
    if (!order) {
      return;
    }
    const updated = this.#orders.removeCaller(order, request);
    this.#orders.replayToAll(updated, result);
    this.#settlement.close(updated, { kind: 'done', result }, now);
  }

  /** Handles the loss of the response to a call that was sent. */
  onResponseLost(request: RequestId, now: Instant): void {
    const order = this.#sentOrder(request);
    if (!order) {
      return;
    }
    const updated = this.#orders.removeCaller(order, request);
    this.#orders.refuseAll(updated, { kind: 'order-unsettled' }, 'unknown');
    this.#settlement.close(updated, this.#rules.lostResponseState(), now);
  }

  /**
   * Handles the end of a request that was not sent, because there was no endpoint
   * or its caller disconnected. If it was sent after all, its response counts as
   * lost. Returns the outcome to report; the order may still run for another
   * caller.
   */
  onNotSent(request: RequestId, now: Instant): Outcome {
    const order = this.#orders.findByRequest(request);
    if (!order || this.#sentOrder(request)) {
      this.onResponseLost(request, now);
      return 'unknown';
    }
    const outcome = this.#rules.outcomeIfAbandoned(order);
    this.#removeCaller(order, request, now);
    return outcome;
  }

  /**
   * Handles the response to a `write` command; only the first response for a
   * ticket counts.
   */
  onWriteResponse(ticket: number, response: WriteResponse, now: Instant): void {
    this.#settlement.onWriteResponse(ticket, response, now);
  }

  /**
   * Handles the response to a `read` command; only the first response for a
   * ticket counts.
   */
  onReadResponse(ticket: number, response: ReadResponse, now: Instant): void {
    this.#settlement.onReadResponse(ticket, response, now);
  }

  /** Expires callers and orders, and starts pending exchanges. */
  override tick(now: Instant): void {
    for (const order of this.#orders.rows()) {
      this.#expireCallers(order, now);
      this.#expireOrder(order.id, now);
      this.#settlement.advance(order.id, now);
    }
  }

  /** Returns the order whose call was sent with this request. */
  #sentOrder(request: RequestId): SentOrder | undefined {
    const order = this.#orders.findByRequest(request);
    if (order?.stage.kind !== 'sent' || !isSender(order, request)) {
      return undefined;
    }
    return { ...order, stage: order.stage };
  }

  #join(order: Order, call: OrderCall): void {
    const { stage } = order;
    if (order.fingerprint !== call.fingerprint) {
      this.#orders.refuse(call, { kind: 'key-conflict' }, 'not_run');
      return;
    }
    const finalState = stage.kind === 'closing' ? stage.state : undefined;
    if (finalState?.kind === 'done') {
      this.#orders.replay(call.request, finalState.result);
      return;
    }
    if (finalState?.kind === 'unsettled') {
      this.#orders.refuse(call, { kind: 'order-unsettled' }, 'unknown');
      return;
    }
    this.#orders.addCaller(order, call);
  }

  /** Removes a caller from the order; without callers, an unsent claim is withdrawn. */
  #removeCaller(order: Order, request: RequestId, now: Instant): void {
    const wasSender = isSender(order, request);
    const updated = this.#orders.removeCaller(order, request);
    if (updated.stage.kind === 'sent' || updated.stage.kind === 'closing') {
      return;
    }
    if (updated.callers.length === 0) {
      this.#withdrawUnsent(updated, now);
    } else if (wasSender && updated.stage.kind === 'claimed') {
      this.#orders.queueSend(updated);
    }
  }

  #withdrawUnsent(order: Order, now: Instant): void {
    if (order.stage.kind === 'polling') {
      this.#orders.remove(order);
      return;
    }
    this.#settlement.close(order, { kind: 'withdrawn' }, now);
  }

  #expireCallers(order: Order, now: Instant): void {
    for (const call of order.callers) {
      const current = this.#orders.current(order);
      if (call.deadline <= now && !this.#sentOrder(call.request)) {
        const outcome = this.#rules.outcomeIfAbandoned(current);
        this.#orders.refuse(call, expiryReason(outcome), outcome);
        this.#removeCaller(current, call.request, now);
      }
    }
  }

  /**
   * Gives up a claim that the store does not confirm, or a final state that it
   * does not store, in time.
   */
  #expireOrder(id: OrderId, now: Instant): void {
    const order = this.#orders.get(id);
    if (!order) {
      return;
    }
    const { stage } = order;
    const elapsedInStage = 'since' in stage ? elapsed(stage.since, now) : 0;
    if (stage.kind === 'claiming') {
      if (elapsedInStage > this.#settings.claimTimeout && order.failures > 0) {
        this.#giveUp(order, now);
      }
    } else if (elapsedInStage > this.#settings.closeTimeout) {
      this.#orders.counts.abandoned += 1;
      this.#orders.refuseAll(order, { kind: 'order-unsettled' }, 'unknown');
      this.#orders.remove(order);
    }
  }

  #giveUp(order: Order, now: Instant): void {
    if (order.hasSeenOtherClaim) {
      this.#orders.refuseAll(order, { kind: 'order-unsettled' }, 'unknown');
    } else {
      this.#orders.refuseAll(order, storeUnavailable(), 'not_run');
    }
    this.#withdrawUnsent(this.#orders.current(order), now);
  }
}

function isSender(order: Order, request: RequestId): boolean {
  return order.callers[0]?.request === request;
}

function storeUnavailable(): RefusalReason {
  return { kind: 'store-unavailable', retryAfter: STORE_RETRY_AFTER };
}

function expiryReason(outcome: Outcome): RefusalReason {
  return outcome === 'not_run'
    ? { kind: 'deadline-exceeded' }
    : { kind: 'order-unsettled' };
}
