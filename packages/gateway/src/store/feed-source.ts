/** A table of the platform's store that can be read whole and then followed. */
import type { Branded } from '@sesamegrade/core/types/brand';
import type { Result } from '@sesamegrade/core/types/result';

/** Position in the store's history. */
export type Revision = Branded<number, 'Revision'>;

export const revision = (value: number) => value as Revision;

/** One row that exists or was removed. */
export interface FeedRow {
  readonly key: string;
  /** Undefined when the row was removed. */
  readonly value: Uint8Array | undefined;
}

export interface FeedPage {
  readonly rows: readonly FeedRow[];
  /** Where to go on. */
  readonly revision: Revision;
}

export type StoreFailure =
  /** No answer in time, or the connection broke. */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** The store answered that it does nothing now. */
  | { readonly kind: 'turned-away'; readonly status: number }
  /** The changes since the revision are not kept any more. */
  | { readonly kind: 'history-lost' }
  | { readonly kind: 'malformed'; readonly detail: string };

export type FeedResult = Result<FeedPage, StoreFailure>;

/** Whether the store may keep a call waiting until there are changes. */
export type FeedReadMode = 'held' | 'at-once';

export abstract class FeedSource {
  /** Name for logs. */
  abstract readonly name: string;

  /** Reads every row as of one moment. */
  abstract readAll(): Promise<FeedResult>;

  /** Reads changes after a revision; an empty page when there were none. */
  abstract readChanges(
    after: Revision,
    hold: FeedReadMode,
  ): Promise<FeedResult>;
}
