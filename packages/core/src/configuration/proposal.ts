/**
 * Types of a configuration change that an operator proposed, until it is
 * accepted or fails.
 */
import type { ChangeId, ConfigurationVersion } from '../types/ids';
import type { InvalidChange } from './change-check';
import type { ConfigurationChange, ConfigurationRecord } from './content';
import type {
  AcceptedVersion,
  ConfigurationSnapshot,
  UnreadableRow,
} from './configuration-rows';

export interface Proposal {
  /** Unchanged over resends, so that a change is accepted at most once. */
  readonly changeId: ChangeId;
  readonly who: string;
  /** Wall time of the proposal, Unix milliseconds. */
  readonly when: number;
  readonly change: ConfigurationChange;
  /**
   * Version that the operator based the change on; any other version in force
   * is a conflict.
   */
  readonly expected?: ConfigurationVersion;
}

/** Final result of a proposal. */
export type ProposalOutcome =
  | { readonly kind: 'committed'; readonly version: ConfigurationVersion }
  /** Another change was accepted as that version. */
  | { readonly kind: 'conflict'; readonly winner: AcceptedVersion }
  | { readonly kind: 'invalid'; readonly problem: InvalidChange }
  /** The store was unreachable before the write was sent: nothing changed. */
  | { readonly kind: 'store-unavailable' }
  | { readonly kind: 'unreadable'; readonly problem: UnreadableRow }
  /** The table's head is behind this router's version, so no change is built on it. */
  | { readonly kind: 'store-behind' }
  /**
   * Unknown: the recent versions no longer reach back to the one this change
   * was written as.
   */
  | { readonly kind: 'unsettled' };

export interface ProposalResult {
  readonly changeId: ChangeId;
  readonly outcome: ProposalOutcome;
}

/** Step of the proposal at the head of the queue. */
export type ProposalState =
  /** The head must be read before the write is built on it. */
  | { readonly step: 'read' }
  | { readonly step: 'write'; readonly attempt: WriteAttempt }
  /**
   * The response did not confirm the write; the head must be read to learn its
   * outcome.
   */
  | { readonly step: 'settle'; readonly attempt: WriteAttempt };

/** One conditional write; sending it again is safe. */
export interface WriteAttempt {
  readonly record: ConfigurationRecord;
  /** Full content after the change. */
  readonly snapshot: ConfigurationSnapshot;
  /**
   * Row version of the head that the write replaces; undefined when there is no
   * row yet.
   */
  readonly base: number | undefined;
  /** Whether the write was sent at least once without a conclusive response. */
  readonly isOutcomeUnknown: boolean;
}
