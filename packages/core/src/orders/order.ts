/** One order as its router knows it, and the commands that an order book gives. */
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
  /** When the caller stops waiting. */
  readonly deadline: Instant;
}

/** What is known of the stored row. */
export type RowView =
  /** Nothing of this claim was written, and no row has been seen. */
  | { readonly kind: 'unseen' }
  /** A write of this claim may or may not have taken effect. */
  | { readonly kind: 'unsure' }
  | { readonly kind: 'absent' }
  /** A withdrawn row, which a claim may replace. */
  | { readonly kind: 'vacant'; readonly version: RowVersion }
  /** The row carries this claim's token. */
  | { readonly kind: 'mine'; readonly version: RowVersion };

/** A state after which the claim sends nothing more. */
export type ClosingState = Exclude<OrderState, { readonly kind: 'claimed' }>;

/** What the router does with an order at present. */
export type OrderStage =
  | { readonly kind: 'claiming'; readonly since: Instant }
  /** Confirmed by an exchange that began at `confirmedAt`; nothing sent yet. */
  | { readonly kind: 'claimed'; readonly confirmedAt: Instant }
  | { readonly kind: 'sent'; readonly confirmedAt: Instant }
  /** Another claim holds the row; its outcome is awaited. */
  | { readonly kind: 'watching' }
  /** The last state is known and is being written. */
  | {
      readonly kind: 'closing';
      readonly state: ClosingState;
      readonly since: Instant;
    };

/** An exchange with the table service that has not been answered. */
export interface PendingExchange {
  readonly ticket: number;
  readonly startedAt: Instant;
  /** Kind of the state that is written; undefined for a read. */
  readonly writes: OrderState['kind'] | undefined;
}

/** Row of the order book's table. */
export interface Order {
  readonly id: OrderId;
  readonly token: AttemptId;
  readonly fingerprint: Fingerprint;
  readonly stage: OrderStage;
  readonly view: RowView;
  readonly exchange: PendingExchange | undefined;
  /** No exchange starts before this. */
  readonly resumeAt: Instant;
  /** Exchanges in a row that brought nothing new. */
  readonly failures: number;
  /** Set once a row of another claim was seen or inferred. */
  readonly hasSeenOtherClaim: boolean;
  /** Callers that wait for this order; the first one's request is sent. */
  readonly callers: readonly OrderCall[];
}

/** What the shell must do. */
export type OrderCommand =
  /** Run the operations, then call `writeAnswered` with the ticket. */
  | {
      readonly kind: 'write';
      readonly ticket: number;
      readonly operations: readonly TableOperation[];
    }
  /** Read the row, then call `readAnswered` with the ticket. */
  | {
      readonly kind: 'read';
      readonly ticket: number;
      readonly table: string;
      readonly key: string;
    }
  /** Place the request, and send it if `permitSend` still allows it. */
  | { readonly kind: 'send'; readonly request: RequestId }
  /** Answer the caller with the recorded answer. */
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
