/** A small table in the platform's store that belongs to the router fleet itself. */
import type { Revision, StoreEra } from '@sesamegrade/core/store/feed-position';
import type { Result } from '@sesamegrade/core/types/result';
import type { FeedPage, StoreFailure } from './feed-source';

/** The row has another revision than expected, so that nothing was written. */
export interface RowConflict {
  readonly kind: 'conflict';
}

/** A row that was written. */
export interface WrittenRow {
  readonly era: StoreEra;
  /** The revision that it has now. */
  readonly revision: Revision;
}

export abstract class RowTable {
  /** Reads every row. */
  abstract readAll(): Promise<Result<FeedPage, StoreFailure>>;

  /** Writes one row unconditionally; returns the era in which it was written. */
  abstract put(
    key: string,
    value: Uint8Array,
  ): Promise<Result<StoreEra, StoreFailure>>;

  /** Writes one row if it has the expected revision; 0 stands for a row that does not exist. */
  abstract replace(
    key: string,
    value: Uint8Array,
    expected: Revision,
  ): Promise<Result<WrittenRow, StoreFailure | RowConflict>>;
}
