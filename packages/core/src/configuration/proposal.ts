/** An operator's change on its way to being accepted. */
import type { ChangeId, ConfigurationVersion } from '../types/ids';
import type { InvalidChange } from './change-check';
import type { ConfigurationChange, ConfigurationRecord } from './content';
import type {
  AcceptedVersion,
  ConfigurationSnapshot,
  UnreadableRow,
} from './configuration-rows';

export interface Proposal {
  /** The same over resends, so that a change is accepted once. */
  readonly changeId: ChangeId;
  readonly who: string;
  /** Unix milliseconds. */
  readonly when: number;
  readonly change: ConfigurationChange;
  /** Version that the operator looked at; any other is a conflict. */
  readonly expected?: ConfigurationVersion;
}

/** How a proposal ended. */
export type ProposalOutcome =
  | { readonly kind: 'committed'; readonly version: ConfigurationVersion }
  /** Another change was accepted in its place. */
  | { readonly kind: 'conflict'; readonly winner: AcceptedVersion }
  | { readonly kind: 'invalid'; readonly problem: InvalidChange }
  /** The store was not reachable before anything was sent: nothing changed. */
  | { readonly kind: 'store-unavailable' }
  | { readonly kind: 'unreadable'; readonly problem: UnreadableRow }
  /** The table is behind what this router has in force, so nothing is built on it. */
  | { readonly kind: 'store-behind' }
  /** Too much was accepted since to tell what became of it. */
  | { readonly kind: 'unsettled' };

export interface ProposalResult {
  readonly changeId: ChangeId;
  readonly outcome: ProposalOutcome;
}

/** Where the proposal at hand stands. */
export type ProposalState =
  /** The head has to be read before the change can be built on it. */
  | { readonly step: 'read' }
  | { readonly step: 'write'; readonly attempt: WriteAttempt }
  /** The answer to the write said nothing certain: the head tells. */
  | { readonly step: 'settle'; readonly attempt: WriteAttempt };

/** One conditional write; repeating it is safe. */
export interface WriteAttempt {
  readonly record: ConfigurationRecord;
  /** The whole content that the change leads to. */
  readonly snapshot: ConfigurationSnapshot;
  /** Row version of the head that it replaces; none when there is no row yet. */
  readonly base: number | undefined;
  /** Whether a write was sent whose answer is not known. */
  readonly isOutcomeUnknown: boolean;
}
