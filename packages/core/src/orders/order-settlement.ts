/**
 * Advances orders by the table service's responses, from the claim to the final
 * state.
 */
import type { AttemptId } from '../types/ids';
import { attemptId } from '../types/ids';
import type {
  ReadResponse,
  RowVersion,
  TableRow,
  WriteResponse,
} from '../types/platform';
import type { Instant } from '../types/units';
import { milliseconds } from '../types/units';
import type { ClosingState, Order } from './order';
import type { CompletedExchange, OrderExchanges } from './order-exchanges';
import { requestedPause } from './order-exchanges';
import type { OrderIndex } from './order-index';
import type { OrderId, OrderRow } from './order-row';
import { parseOrderRow } from './order-row';
import type { OrderRules } from './order-rules';
import type { OrderSettings } from './order-settings';

export class OrderSettlement {
  readonly #orders: OrderIndex;
  readonly #exchanges: OrderExchanges;
  readonly #rules: OrderRules;
  readonly #settings: OrderSettings;
  readonly #tokenPrefix: string;
  #lastToken = 0;

  constructor(
    orders: OrderIndex,
    exchanges: OrderExchanges,
    rules: OrderRules,
    settings: OrderSettings,
    tokenPrefix: string,
  ) {
    this.#orders = orders;
    this.#exchanges = exchanges;
    this.#rules = rules;
    this.#settings = settings;
    this.#tokenPrefix = tokenPrefix;
  }

  /** Returns the unique token of a new claim. */
  nextToken(): AttemptId {
    this.#lastToken += 1;
    return attemptId(`${this.#tokenPrefix}.${this.#lastToken}`);
  }

  /**
   * Handles the response to a `write` command; only the first response for a
   * ticket counts.
   */
  onWriteResponse(ticket: number, response: WriteResponse, now: Instant): void {
    const completed = this.#exchanges.complete(ticket);
    if (!completed) {
      return;
    }
    const { order } = completed;
    const version = this.#rules.committedVersion(order, response);
    if (version !== undefined) {
      this.#onWritten(completed, version, now);
    } else if (response.kind === 'conflict') {
      this.#orders.update(order, {
        view: { kind: 'uncertain' },
        hasSeenOtherClaim: true,
      });
    } else if (response.kind === 'unknown' || response.kind === 'committed') {
      this.#orders.update(order, { view: { kind: 'uncertain' } });
      this.#exchanges.pause(order, milliseconds(0), now);
    } else {
      this.#exchanges.pause(order, requestedPause(response), now);
    }
    this.advance(order.id, now);
  }

  /**
   * Handles the response to a `read` command; only the first response for a
   * ticket counts.
   */
  onReadResponse(ticket: number, response: ReadResponse, now: Instant): void {
    const completed = this.#exchanges.complete(ticket);
    if (!completed) {
      return;
    }
    const { order } = completed;
    if (response.kind === 'found') {
      this.#onRowFound(completed, response.row, now);
    } else if (response.kind === 'absent') {
      this.#orders.update(order, { view: { kind: 'absent' } });
      this.#onRowAvailable(order, now);
      this.#exchanges.pause(order, milliseconds(0), now);
    } else {
      this.#exchanges.pause(order, requestedPause(response), now);
    }
    this.advance(order.id, now);
  }

  /** Starts the next exchange of an order, if it needs one now, or settles the order. */
  advance(id: OrderId, now: Instant): void {
    const settled = this.#exchanges.advance(id, now);
    const order = this.#orders.get(id);
    if (settled && order) {
      this.#settle(order, now);
    }
  }

  /** Starts to store the final state of an order. */
  close(order: Order, state: ClosingState, now: Instant): void {
    this.#orders.update(order, {
      stage: { kind: 'closing', state, since: now },
      resumeAt: now,
      failures: 0,
    });
    this.advance(order.id, now);
  }

  /**
   * Handles a write that took effect: the claim is confirmed, or the final
   * state is stored.
   */
  #onWritten(
    completed: CompletedExchange,
    version: RowVersion,
    now: Instant,
  ): void {
    const order = this.#orders.update(completed.order, {
      view: { kind: 'own', version },
    });
    if (order.stage.kind === 'claiming' && completed.writes === 'claimed') {
      this.#confirm(order, completed.startedAt);
    } else if (completed.writes === closingKind(order)) {
      this.#settle(order, now);
    }
  }

  #confirm(order: Order, confirmedAt: Instant): void {
    const claimed = this.#orders.update(order, {
      stage: { kind: 'claimed', confirmedAt },
      hasSeenOtherClaim: false,
      failures: 0,
    });
    this.#orders.counts.claimed += 1;
    this.#orders.record('order-recorded', claimed);
    this.#orders.queueSend(claimed);
  }

  #onRowFound(
    completed: CompletedExchange,
    stored: TableRow,
    now: Instant,
  ): void {
    const parsed = parseOrderRow(stored.value);
    if (!parsed.ok) {
      this.#orders.counts.unreadable += 1;
      this.#unsettle(completed.order);
      return;
    }
    if (!this.#rules.isOwnRow(completed.order, parsed.value)) {
      this.#onOtherRow(completed.order, parsed.value, stored.version, now);
      return;
    }
    const order = this.#orders.update(completed.order, {
      view: { kind: 'own', version: stored.version },
    });
    if (order.stage.kind === 'claiming') {
      this.#confirm(order, completed.startedAt);
    } else if (parsed.value.state.kind === closingKind(order)) {
      this.#settle(order, now);
    }
  }

  #onOtherRow(
    order: Order,
    row: OrderRow,
    version: RowVersion,
    now: Instant,
  ): void {
    if (row.state.kind === 'withdrawn') {
      this.#orders.update(order, { view: { kind: 'replaceable', version } });
      this.#onRowAvailable(order, now);
    } else if (order.stage.kind === 'closing') {
      const updated = this.#orders.update(order, {
        view: { kind: 'uncertain' },
      });
      this.#settle(updated, now);
    } else if (row.fingerprint !== order.fingerprint) {
      this.#orders.refuseAll(order, { kind: 'key-conflict' }, 'not_run');
      this.#orders.remove(order);
    } else {
      this.#follow(order, row, now);
    }
  }

  /**
   * Handles a row that no claim owns: an order that was polling another claim's
   * row may now claim it.
   */
  #onRowAvailable(order: Order, now: Instant): void {
    this.#orders.update(order, { hasSeenOtherClaim: false });
    if (order.stage.kind === 'polling') {
      this.#orders.update(order, { stage: { kind: 'claiming', since: now } });
    }
  }

  /**
   * Handles a row owned by another claim of the same call: its result is the
   * result of this order.
   */
  #follow(order: Order, row: OrderRow, now: Instant): void {
    switch (row.state.kind) {
      case 'done':
        this.#orders.replayToAll(order, row.state.result);
        this.#orders.remove(order);
        return;
      case 'unsettled':
        this.#unsettle(order);
        return;
      case 'claimed':
      case 'withdrawn':
        this.#orders.update(order, {
          stage: { kind: 'polling' },
          hasSeenOtherClaim: true,
        });
        this.#exchanges.pause(order, this.#settings.minPollPause, now);
    }
  }

  /** Ends an order whose outcome stays unknown. */
  #unsettle(order: Order): void {
    this.#orders.refuseAll(order, { kind: 'order-unsettled' }, 'unknown');
    this.#orders.remove(order);
  }

  /**
   * Settles an order whose final state is stored or needs no row; callers that
   * joined since make a new claim.
   */
  #settle(order: Order, now: Instant): void {
    const isWithdrawn = closingKind(order) === 'withdrawn';
    this.#orders.counts[isWithdrawn ? 'withdrawn' : 'settled'] += 1;
    this.#orders.record(
      isWithdrawn ? 'order-withdrawn' : 'order-settled',
      order,
    );
    if (order.callers.length === 0) {
      this.#orders.remove(order);
      return;
    }
    const { view } = order;
    this.#orders.update(order, {
      token: this.nextToken(),
      stage: { kind: 'claiming', since: now },
      view:
        view.kind === 'own'
          ? { kind: 'replaceable', version: view.version }
          : view,
      failures: 0,
    });
    this.advance(order.id, now);
  }
}

/**
 * Returns the kind of the final state that is being stored; undefined before
 * that stage.
 */
function closingKind({ stage }: Order): ClosingState['kind'] | undefined {
  return stage.kind === 'closing' ? stage.state.kind : undefined;
}
