/** State of one order at its router, and the commands of the order manager. */
import type {
  AttemptId,
  Fingerprint,
  IdempotencyKey,
  RequestId,
  ServiceId,
  TeamId,
} from '../types/ids';
import type { Outcome } from '../types/outcome';
import type { RowVersion, TableOperation } from '../types/platform';
import type { RefusalReason } from '../types/refusal';
import type { Instant } from '../types/units';
import type { OrderId, OrderState, RecordedResult } from './order-row';

/** One caller's request for a call that must run at most once. */
export interface OrderCall {
  readonly request: RequestId;
  readonly team: TeamId;
  readonly service: ServiceId;
  readonly key: IdempotencyKey;
  /** Hash of the body; the same key with another body is a conflict. */
  readonly fingerprint: Fingerprint;
  /** Time at which the caller stops waiting. */
  readonly deadline: Instant;
}

/** Last known state of the stored row. */
export type RowView =
  /** No write of this claim was sent, and no row has been read. */
  | { readonly kind: 'unseen' }
  /**
   * Unknown: a write of this claim may have taken effect, or another claim's
   * row exists.
   */
  | { readonly kind: 'uncertain' }
  | { readonly kind: 'absent' }
  /** A row in state `withdrawn`, which a new claim may replace. */
  | { readonly kind: 'replaceable'; readonly version: RowVersion }
  /** A row with this claim's token. */
  | { readonly kind: 'own'; readonly version: RowVersion };

/** A final state, after which nothing is sent under the claim. */
export type ClosingState = Exclude<OrderState, { readonly kind: 'claimed' }>;

/** Stage of an order at its router. */
export type OrderStage =
  | { readonly kind: 'claiming'; readonly since: Instant }
  /**
   * Confirmed by an exchange that started at `confirmedAt`; the request is not
   * sent yet.
   */
  | { readonly kind: 'claimed'; readonly confirmedAt: Instant }
  | { readonly kind: 'sent'; readonly confirmedAt: Instant }
  /** Another claim owns the row; the router polls it for the result. */
  | { readonly kind: 'polling' }
  /** The final state is known and is being written. */
  | {
      readonly kind: 'closing';
      readonly state: ClosingState;
      readonly since: Instant;
    };

/** A request to the table service whose response is outstanding. */
export interface PendingExchange {
  readonly ticket: number;
  readonly startedAt: Instant;
  /** Kind of the order state that a write stores; undefined for a read. */
  readonly writes: OrderState['kind'] | undefined;
}

/** Entry of the order index. */
export interface Order {
  readonly id: OrderId;
  readonly token: AttemptId;
  readonly fingerprint: Fingerprint;
  readonly stage: OrderStage;
  readonly view: RowView;
  readonly exchange: PendingExchange | undefined;
  /** Earliest start of the next exchange. */
  readonly resumeAt: Instant;
  /** Consecutive exchanges without progress, for the back-off. */
  readonly failures: number;
  /** Whether another claim's row was read, or inferred from a conflict. */
  readonly hasSeenOtherClaim: boolean;
  /** Callers that wait for this order; the request of the first one is sent. */
  readonly callers: readonly OrderCall[];
}

/** Command to the I/O layer. */
export type OrderCommand =
  /** Execute the operations, then call `onWriteResponse` with the ticket. */
  | {
      readonly kind: 'write';
      readonly ticket: number;
      readonly operations: readonly TableOperation[];
    }
  /** Read the row, then call `onReadResponse` with the ticket. */
  | {
      readonly kind: 'read';
      readonly ticket: number;
      readonly table: string;
      readonly key: string;
    }
  /** Place the request on an endpoint, and send it if `permitSend` still allows it. */
  | { readonly kind: 'send'; readonly request: RequestId }
  /** Respond to the caller with the recorded result. */
  | {
      readonly kind: 'replay';
      readonly request: RequestId;
      readonly result: RecordedResult;
    }
  | {
      readonly kind: 'refuse';
      readonly request: RequestId;
      readonly reason: RefusalReason;
      readonly outcome: Outcome;
    };
