/** State of one lease at one router, and the commands of the lease manager. */
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
      /** When the response that first showed this version was received. */
      readonly since: Instant;
    };

/** A lease that this process has taken and not released. */
export interface LeaseHold {
  readonly fence: FencingNumber;
  /** Start of the write that took or last renewed the lease. */
  readonly renewedAt: Instant;
}

/**
 * Renewal time when the start of the write is unknown: the lease must be
 * renewed before use.
 */
export const UNKNOWN_RENEWAL = instant(-Infinity);

/** A request to the table service whose response is outstanding. */
export interface LeaseExchange {
  readonly ticket: number;
  readonly startedAt: Instant;
  /** Row that a write stores; undefined for a read. */
  readonly writes: LeaseRow | undefined;
}

/** Entry of the lease manager's table. */
export interface Lease {
  readonly id: LeaseId;
  /** Whether this router is to hold the lease. */
  readonly isWanted: boolean;
  readonly view: LeaseView;
  /** Highest fencing number seen in the row or reported by a receiver. */
  readonly highestFence: FencingNumber;
  /** Whether the row must be read before the next write. */
  readonly mustRead: boolean;
  readonly hold: LeaseHold | undefined;
  /** Whether the last command for this lease was `taken` rather than `lost`. */
  readonly isReportedTaken: boolean;
  readonly exchange: LeaseExchange | undefined;
  /**
   * The last write without a conclusive response; it may have taken effect or
   * may still do so.
   */
  readonly unsettled: LeaseExchange | undefined;
  /** Earliest start of the next exchange. */
  readonly resumeAt: Instant;
  /** Consecutive exchanges without progress, for the back-off. */
  readonly failures: number;
}

/** Command to the I/O layer. */
export type LeaseCommand =
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
  /** The router now holds the lease with this fencing number. */
  | {
      readonly kind: 'taken';
      readonly lease: LeaseId;
      readonly fence: FencingNumber;
    }
  /** The router must no longer act under the lease. */
  | { readonly kind: 'lost'; readonly lease: LeaseId };
