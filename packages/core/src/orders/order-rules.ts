/** Rules on which at-most-once execution depends, one method each. */
import type { Outcome } from '../types/outcome';
import type { RowVersion, WriteResponse } from '../types/platform';
import type { Instant, Milliseconds } from '../types/units';
import { elapsed } from '../types/units';
import type { ClosingState, Order } from './order';
import type { OrderRow } from './order-row';

export class OrderRules {
  /** Returns the row version made by a write; undefined unless the write is confirmed. */
  committedVersion(
    _order: Order,
    response: WriteResponse,
  ): RowVersion | undefined {
    return response.kind === 'committed' ? response.versions[0] : undefined;
  }

  /** Whether the stored row was written under this claim. */
  isOwnRow(order: Order, row: OrderRow): boolean {
    return row.token === order.token;
  }

  /** Returns the outcome to report to a caller that stops waiting. */
  outcomeIfAbandoned(order: Order): Outcome {
    const isMaybeSent =
      order.hasSeenOtherClaim ||
      order.stage.kind === 'polling' ||
      order.stage.kind === 'sent';
    return isMaybeSent || order.callers.length > 1 ? 'unknown' : 'not_run';
  }

  /** Whether the claim was confirmed recently enough to send under it. */
  isFresh(confirmedAt: Instant, now: Instant, maxAge: Milliseconds): boolean {
    return elapsed(confirmedAt, now) <= maxAge;
  }

  /** Returns the state to store when the response to a sent call was lost. */
  lostResponseState(): ClosingState {
    return { kind: 'unsettled' };
  }
}
