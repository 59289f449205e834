/** The judgements on which at-most-once rests, each in one place. */
import type { Outcome } from '../types/outcome';
import type { RowVersion, WriteResponse } from '../types/platform';
import type { Instant, Milliseconds } from '../types/units';
import { elapsed } from '../types/units';
import type { ClosingState, Order } from './order';
import type { OrderRow } from './order-row';

export class OrderRules {
  /** Version that a write gave the row; undefined unless it is certain. */
  committedVersion(
    _order: Order,
    answer: WriteResponse,
  ): RowVersion | undefined {
    return answer.kind === 'committed' ? answer.versions[0] : undefined;
  }

  /** True when the stored row is this claim's own. */
  isOwnRow(order: Order, row: OrderRow): boolean {
    return row.token === order.token;
  }

  /** What may be said to a caller that stops waiting. */
  outcomeIfAbandoned(order: Order): Outcome {
    const maybeSent =
      order.hasSeenOtherClaim ||
      order.stage.kind === 'watching' ||
      order.stage.kind === 'sent';
    return maybeSent || order.callers.length > 1 ? 'unknown' : 'not_run';
  }

  /** True while a confirmation is young enough to send under it. */
  isFresh(confirmedAt: Instant, now: Instant, limit: Milliseconds): boolean {
    return elapsed(confirmedAt, now) <= limit;
  }

  /** State to store when the answer to a sent call is lost. */
  lostResponseState(): ClosingState {
    return { kind: 'unsettled' };
  }
}
