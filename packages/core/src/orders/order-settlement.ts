/** What the store's answers mean for an order, from its claim to its last state. */
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
  readonly #ledger: OrderIndex;
  readonly #exchanges: OrderExchanges;
  readonly #rules: OrderRules;
  readonly #settings: OrderSettings;
  readonly #tokenPrefix: string;
  #lastToken = 0;

  constructor(
    ledger: OrderIndex,
    exchanges: OrderExchanges,
    rules: OrderRules,
    settings: OrderSettings,
    tokenPrefix: string,
  ) {
    this.#ledger = ledger;
    this.#exchanges = exchanges;
    this.#rules = rules;
    this.#settings = settings;
    this.#tokenPrefix = tokenPrefix;
  }

  /** Returns the mark of a new claim. */
  nextToken(): AttemptId {
    this.#lastToken += 1;
    return attemptId(`${this.#tokenPrefix}.${this.#lastToken}`);
  }

  /** Takes the answer to a `write` command; only the first for a ticket counts. */
  onWriteResponse(ticket: number, answer: WriteResponse, now: Instant): void {
    const asked = this.#exchanges.complete(ticket);
    if (!asked) {
      return;
    }
    const { order } = asked;
    const version = this.#rules.committedVersion(order, answer);
    if (version !== undefined) {
      this.#written(asked, version, now);
    } else if (answer.kind === 'conflict') {
      this.#ledger.update(order, {
        view: { kind: 'unsure' },
        hasSeenOtherClaim: true,
      });
    } else if (answer.kind === 'unknown' || answer.kind === 'committed') {
      this.#ledger.update(order, { view: { kind: 'unsure' } });
      this.#exchanges.pause(order, milliseconds(0), now);
    } else {
      this.#exchanges.pause(order, requestedPause(answer), now);
    }
    this.advance(order.id, now);
  }

  /** Takes the answer to a `read` command. */
  onReadResponse(ticket: number, answer: ReadResponse, now: Instant): void {
    const asked = this.#exchanges.complete(ticket);
    if (!asked) {
      return;
    }
    const { order } = asked;
    if (answer.kind === 'found') {
      this.#found(asked, answer.row, now);
    } else if (answer.kind === 'absent') {
      this.#ledger.update(order, { view: { kind: 'absent' } });
      this.#foundFree(order, now);
      this.#exchanges.pause(order, milliseconds(0), now);
    } else {
      this.#exchanges.pause(order, requestedPause(answer), now);
    }
    this.advance(order.id, now);
  }

  /** Starts the exchange that an order needs, if one is due. */
  advance(id: OrderId, now: Instant): void {
    const settled = this.#exchanges.advance(id, now);
    const order = this.#ledger.get(id);
    if (settled && order) {
      this.#settle(order, now);
    }
  }

  /** Begins to store the last state of an order. */
  close(order: Order, state: ClosingState, now: Instant): void {
    this.#ledger.update(order, {
      stage: { kind: 'closing', state, since: now },
      resumeAt: now,
      failures: 0,
    });
    this.advance(order.id, now);
  }

  /** A write took effect: the claim is confirmed, or the last state is stored. */
  #written(asked: CompletedExchange, version: RowVersion, now: Instant): void {
    const order = this.#ledger.update(asked.order, {
      view: { kind: 'mine', version },
    });
    if (order.stage.kind === 'claiming' && asked.writes === 'claimed') {
      this.#confirm(order, asked.startedAt);
    } else if (asked.writes === closingKind(order)) {
      this.#settle(order, now);
    }
  }

  #confirm(order: Order, confirmedAt: Instant): void {
    const claimed = this.#ledger.update(order, {
      stage: { kind: 'claimed', confirmedAt },
      hasSeenOtherClaim: false,
      failures: 0,
    });
    this.#ledger.counts.claimed += 1;
    this.#ledger.record('order-recorded', claimed);
    this.#ledger.queueSend(claimed);
  }

  #found(asked: CompletedExchange, stored: TableRow, now: Instant): void {
    const parsed = parseOrderRow(stored.value);
    if (!parsed.ok) {
      this.#ledger.counts.unreadable += 1;
      this.#unsettle(asked.order);
      return;
    }
    if (!this.#rules.isOwnRow(asked.order, parsed.value)) {
      this.#foundOther(asked.order, parsed.value, stored.version, now);
      return;
    }
    const order = this.#ledger.update(asked.order, {
      view: { kind: 'mine', version: stored.version },
    });
    if (order.stage.kind === 'claiming') {
      this.#confirm(order, asked.startedAt);
    } else if (parsed.value.state.kind === closingKind(order)) {
      this.#settle(order, now);
    }
  }

  #foundOther(
    order: Order,
    row: OrderRow,
    version: RowVersion,
    now: Instant,
  ): void {
    if (row.state.kind === 'withdrawn') {
      this.#ledger.update(order, { view: { kind: 'vacant', version } });
      this.#foundFree(order, now);
    } else if (order.stage.kind === 'closing') {
      const unsure = this.#ledger.update(order, { view: { kind: 'unsure' } });
      this.#settle(unsure, now);
    } else if (row.fingerprint !== order.fingerprint) {
      this.#ledger.refuseAll(order, { kind: 'key-conflict' }, 'not_run');
      this.#ledger.remove(order);
    } else {
      this.#follow(order, row, now);
    }
  }

  /** Nobody holds the row: a call that only watched it may claim it. */
  #foundFree(order: Order, now: Instant): void {
    this.#ledger.update(order, { hasSeenOtherClaim: false });
    if (order.stage.kind === 'watching') {
      this.#ledger.update(order, { stage: { kind: 'claiming', since: now } });
    }
  }

  /** Another claim holds the row: its answer is this call's answer. */
  #follow(order: Order, row: OrderRow, now: Instant): void {
    switch (row.state.kind) {
      case 'done':
        this.#ledger.replayToAll(order, row.state.result);
        this.#ledger.remove(order);
        return;
      case 'unsettled':
        this.#unsettle(order);
        return;
      case 'claimed':
      case 'withdrawn':
        this.#ledger.update(order, {
          stage: { kind: 'watching' },
          hasSeenOtherClaim: true,
        });
        this.#exchanges.pause(order, this.#settings.minWatchPause, now);
    }
  }

  /** Ends an order whose outcome nobody can tell. */
  #unsettle(order: Order): void {
    this.#ledger.refuseAll(order, { kind: 'order-unsettled' }, 'unknown');
    this.#ledger.remove(order);
  }

  /** The order's last state is stored, or needs no row; callers that came since start anew. */
  #settle(order: Order, now: Instant): void {
    const withdrawn = closingKind(order) === 'withdrawn';
    this.#ledger.counts[withdrawn ? 'withdrawn' : 'settled'] += 1;
    this.#ledger.record(withdrawn ? 'order-withdrawn' : 'order-settled', order);
    if (order.callers.length === 0) {
      this.#ledger.remove(order);
      return;
    }
    const { view } = order;
    this.#ledger.update(order, {
      token: this.nextToken(),
      stage: { kind: 'claiming', since: now },
      view:
        view.kind === 'mine' ? { kind: 'vacant', version: view.version } : view,
      failures: 0,
    });
    this.advance(order.id, now);
  }
}

/** Kind of the last state that is being stored; undefined before. */
function closingKind({ stage }: Order): ClosingState['kind'] | undefined {
  return stage.kind === 'closing' ? stage.state.kind : undefined;
}
