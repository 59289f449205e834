/**
 * Runs calls that must happen at most once. A claim is written to the table
 * service under a condition; only the router whose claim is confirmed may send,
 * and it sends under that claim alone. A lost answer is settled by reading the
 * row back for the claim's own token. No router ever sends for another's claim,
 * so a router that was paused at any step can at worst send late, never twice.
 *
 * Methods take messages and queue commands; `takeCommands` hands them out.
 */
import type { Random } from '../random/random';
import { System } from '../table/system';
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
  /** Unique to this process start, so that no two claims share a token. */
  readonly tokenPrefix: string;
  readonly random: Random;
  readonly recorder: EventRecorder;
  readonly settings: OrderSettings;
  readonly rules: OrderRules;
}

/** An order whose request went out. */
type SentOrder = Order & {
  readonly stage: Extract<OrderStage, { readonly kind: 'sent' }>;
};

const STORE_RETRY_AFTER = seconds(1);
const STOPPING_RETRY_AFTER = seconds(0);

export class OrderManager extends System {
  readonly #settings: OrderSettings;
  readonly #rules: OrderRules;
  readonly #ledger: OrderIndex;
  readonly #settlement: OrderSettlement;
  #isStopping = false;

  constructor(options: OrderManagerOptions) {
    super();
    const { router, random, recorder, settings, rules } = options;
    this.#settings = settings;
    this.#rules = rules;
    this.#ledger = new OrderIndex(router, recorder);
    this.#settlement = new OrderSettlement(
      this.#ledger,
      new OrderExchanges(this.#ledger, router, random, settings),
      rules,
      settings,
      options.tokenPrefix,
    );
  }

  get counts(): Readonly<OrderCounts> {
    return this.#ledger.counts;
  }

  /** Orders that still need the store or an endpoint. */
  get openCount(): number {
    return this.#ledger.size;
  }

  /** Returns the commands given since the last call. */
  takeCommands(): readonly OrderCommand[] {
    return this.#ledger.takeCommands();
  }

  /** Refuses calls with new keys from now on; the rest goes on to its end. */
  stop(): void {
    this.#isStopping = true;
  }

  /** Starts a call, or joins it to one with the same key. */
  begin(call: OrderCall, now: Instant): void {
    if (this.#ledger.hasRequest(call.request)) {
      return;
    }
    const id = orderId(call.team, call.service, call.key);
    const held = this.#ledger.get(id);
    if (held) {
      this.#join(held, call);
      return;
    }
    if (this.#isStopping) {
      const retryAfter = STOPPING_RETRY_AFTER;
      this.#ledger.refuse(call, { kind: 'stopping', retryAfter }, 'not_run');
      return;
    }
    if (this.#ledger.size >= this.#settings.maxOrders) {
      this.#ledger.refuse(call, storeUnavailable(), 'not_run');
      return;
    }
    this.#ledger.put({
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
   * To be called right before the first byte goes out. False means that the
   * request must not be sent; another `send` command may follow.
   */
  permitSend(request: RequestId, now: Instant): boolean {
    const order = this.#ledger.findByRequest(request);
    if (order?.stage.kind !== 'claimed') {
      return false;
    }
    const [sender] = order.callers;
    if (sender?.request !== request || sender.deadline <= now) {
      return false;
    }
    const { confirmedAt } = order.stage;
    if (!this.#rules.isFresh(confirmedAt, now, this.#settings.maxClaimAge)) {
      this.#ledger.update(order, { stage: { kind: 'claiming', since: now } });
      this.#settlement.advance(order.id, now);
      return false;
    }
    this.#ledger.update(order, { stage: { kind: 'sent', confirmedAt } });
    return true;
  }

  /** The endpoint refused the call before running it; it may be sent again. */
  onRefused(request: RequestId): void {
    const order = this.#sentBy(request);
    if (order) {
      const { confirmedAt } = order.stage;
      this.#ledger.update(order, { stage: { kind: 'claimed', confirmedAt } });
    }
  }

  /** The endpoint's whole answer arrived. */
  onResponse(request: RequestId, result: RecordedResult, now: Instant): void {
    const order = this.#sentBy(request);
    if (!order) {
      return;
    }
    const rest = this.#ledger.removeCaller(order, request);
    this.#ledger.replayToAll(rest, result);
    this.#settlement.close(rest, { kind: 'done', result }, now);
  }

  /** The call was sent and its answer is lost. */
  onResponseLost(request: RequestId, now: Instant): void {
    const order = this.#sentBy(request);
    if (!order) {
      return;
    }
    const rest = this.#ledger.removeCaller(order, request);
    this.#ledger.refuseAll(rest, { kind: 'order-unsettled' }, 'unknown');
    this.#settlement.close(rest, this.#rules.lostResponseState(), now);
  }

  /**
   * The request ends without having been sent: no endpoint, or its caller left.
   * Returns what may be said of it; another caller may still run the order.
   */
  onNotSent(request: RequestId, now: Instant): Outcome {
    const order = this.#ledger.findByRequest(request);
    if (!order || this.#sentBy(request)) {
      this.onResponseLost(request, now);
      return 'unknown';
    }
    const outcome = this.#rules.outcomeIfAbandoned(order);
    this.#leave(order, request, now);
    return outcome;
  }

  /** Takes the answer to a `write` command; only the first for a ticket counts. */
  onWriteResponse(ticket: number, answer: WriteResponse, now: Instant): void {
    this.#settlement.onWriteResponse(ticket, answer, now);
  }

  /** Takes the answer to a `read` command. */
  onReadResponse(ticket: number, answer: ReadResponse, now: Instant): void {
    this.#settlement.onReadResponse(ticket, answer, now);
  }

  /** Ends what waited too long and starts what is due. */
  override tick(now: Instant): void {
    for (const order of this.#ledger.orders()) {
      this.#expireCallers(order, now);
      this.#expireOrder(order.id, now);
      this.#settlement.advance(order.id, now);
    }
  }

  /** The order that was sent for this request. */
  #sentBy(request: RequestId): SentOrder | undefined {
    const order = this.#ledger.findByRequest(request);
    if (order?.stage.kind !== 'sent' || !isSender(order, request)) {
      return undefined;
    }
    return { ...order, stage: order.stage };
  }

  #join(order: Order, call: OrderCall): void {
    const { stage } = order;
    if (order.fingerprint !== call.fingerprint) {
      this.#ledger.refuse(call, { kind: 'key-conflict' }, 'not_run');
      return;
    }
    const closed = stage.kind === 'closing' ? stage.state : undefined;
    if (closed?.kind === 'done') {
      this.#ledger.replay(call.request, closed.result);
      return;
    }
    if (closed?.kind === 'unsettled') {
      this.#ledger.refuse(call, { kind: 'order-unsettled' }, 'unknown');
      return;
    }
    this.#ledger.addCaller(order, call);
  }

  /** Takes a caller off the order; the last one to leave withdraws the claim. */
  #leave(order: Order, request: RequestId, now: Instant): void {
    const wasSender = isSender(order, request);
    const rest = this.#ledger.removeCaller(order, request);
    if (rest.stage.kind === 'sent' || rest.stage.kind === 'closing') {
      return;
    }
    if (rest.callers.length === 0) {
      this.#endUnsent(rest, now);
    } else if (wasSender && rest.stage.kind === 'claimed') {
      this.#ledger.queueSend(rest);
    }
  }

  #endUnsent(order: Order, now: Instant): void {
    if (order.stage.kind === 'watching') {
      this.#ledger.remove(order);
      return;
    }
    this.#settlement.close(order, { kind: 'withdrawn' }, now);
  }

  #expireCallers(order: Order, now: Instant): void {
    for (const call of order.callers) {
      const current = this.#ledger.current(order);
      if (call.deadline <= now && !this.#sentBy(call.request)) {
        const outcome = this.#rules.outcomeIfAbandoned(current);
        this.#ledger.refuse(call, expiryReason(outcome), outcome);
        this.#leave(current, call.request, now);
      }
    }
  }

  /** Gives up on a claim while the store stays away, or on its last state. */
  #expireOrder(id: OrderId, now: Instant): void {
    const order = this.#ledger.get(id);
    if (!order) {
      return;
    }
    const { stage } = order;
    const since = 'since' in stage ? elapsed(stage.since, now) : 0;
    if (stage.kind === 'claiming') {
      if (since > this.#settings.claimTimeout && order.failures > 0) {
        this.#giveUp(order, now);
      }
    } else if (since > this.#settings.closeTimeout) {
      this.#ledger.counts.abandoned += 1;
      this.#ledger.refuseAll(order, { kind: 'order-unsettled' }, 'unknown');
      this.#ledger.remove(order);
    }
  }

  #giveUp(order: Order, now: Instant): void {
    if (order.hasSeenOtherClaim) {
      this.#ledger.refuseAll(order, { kind: 'order-unsettled' }, 'unknown');
    } else {
      this.#ledger.refuseAll(order, storeUnavailable(), 'not_run');
    }
    this.#endUnsent(this.#ledger.current(order), now);
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
