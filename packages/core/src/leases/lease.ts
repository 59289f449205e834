/** One lease as a router knows it, and the commands that a lease keeper gives. */
import type { FencingNumber, LeaseId } from '../types/ids';
import type { RowVersion, TableOperation } from '../types/platform';
import type { Instant } from '../types/units';
import { instant } from '../types/units';
import type { LeaseRow } from './lease-row';

/** The stored row as it was last seen. */
export type LeaseView =
  | { readonly kind: 'unseen' }
  | { readonly kind: 'absent' }
  | {
      readonly kind: 'seen';
      readonly row: LeaseRow;
      readonly version: RowVersion;
      /** When the read that first showed this version was answered. */
      readonly since: Instant;
    };

/** A hold that this process took and has not given up. */
export interface LeaseHold {
  readonly fence: FencingNumber;
  /** Start of the write that took or last renewed it. */
  readonly renewedAt: Instant;
}

/** Start of a hold whose write cannot be dated: it must be renewed before use. */
export const UNKNOWN_RENEWAL = instant(-Infinity);

/** An exchange with the table service that has not been answered. */
export interface LeaseExchange {
  readonly ticket: number;
  readonly startedAt: Instant;
  /** What a write stores; undefined for a read. */
  readonly writes: LeaseRow | undefined;
}

/** Row of the lease keeper's table. */
export interface Lease {
  readonly id: LeaseId;
  /** Whether this router should hold it. */
  readonly isWanted: boolean;
  readonly view: LeaseView;
  /** Highest number seen in the row or told by a receiver. */
  readonly highestFence: FencingNumber;
  /** Whether the row must be read before anything else. */
  readonly mustRead: boolean;
  readonly hold: LeaseHold | undefined;
  /** Whether the hold was last told as taken. */
  readonly told: boolean;
  readonly exchange: LeaseExchange | undefined;
  /** The last write whose answer was lost; it may yet take effect. */
  readonly unsettled: LeaseExchange | undefined;
  readonly resumeAt: Instant;
  readonly failures: number;
}

/** What the shell must do. */
export type LeaseCommand =
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
  /** The router holds the lease under this number. */
  | {
      readonly kind: 'taken';
      readonly lease: LeaseId;
      readonly fence: FencingNumber;
    }
  /** The router may not act under the lease any more. */
  | { readonly kind: 'lost'; readonly lease: LeaseId };
