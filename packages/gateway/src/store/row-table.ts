/** A small table of the router fleet's own in the platform's store. */
import type { Result } from '@sesamegrade/core/types/result';
import type { FeedPage, StoreFailure } from './feed-source';

export abstract class RowTable {
  abstract readAll(): Promise<Result<FeedPage, StoreFailure>>;

  /** Writes one row whatever it held before. */
  abstract put(
    key: string,
    value: Uint8Array,
  ): Promise<Result<undefined, StoreFailure>>;
}
