/** A table of the routers in memory, and what one router reaches of it. */
import { FIRST_ERA, revision } from '@sesamegrade/core/store/feed-position';
import type {
  FeedPosition,
  Revision,
  StoreEra,
} from '@sesamegrade/core/store/feed-position';
import { fail, succeed } from '@sesamegrade/core/types/result';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { Result } from '@sesamegrade/core/types/result';
import type { FeedRow, StoreFailure } from '../../store/feed-source';
import { RowTable } from '../../store/row-table';
import type { RowConflict } from '../../store/row-table';

/** Whether the store answers a router, rejects its calls or never responds. */
export type StoreReach = 'answers' | 'rejects' | 'silent';

/** Time after which a call without a response fails. */
const CALL_TIMEOUT: Milliseconds = milliseconds(1500);

/** Makes a call of the store as far as a router reaches it. */
export function callStore<Value, Failure = never>(
  reach: StoreReach,
  timers: TimerService,
  answer: () => Result<Value, Failure>,
): Promise<Result<Value, Failure | StoreFailure>> {
  switch (reach) {
    case 'answers':
      return Promise.resolve(answer());
    case 'rejects':
      return Promise.resolve(fail({ kind: 'turned-away', status: 503 }));
    case 'silent':
      return new Promise(resolve => {
        timers.after(CALL_TIMEOUT, () => {
          resolve(fail({ kind: 'unreachable', detail: 'timeout' }));
        });
      });
  }
}

export class MemoryTable {
  readonly #rows = new Map<string, FeedRow>();
  #revision = revision(1);

  get rows(): FeedRow[] {
    return [...this.#rows.values()];
  }

  revisionOf(key: string): Revision {
    return this.#rows.get(key)?.revision ?? revision(0);
  }

  put(key: string, value: Uint8Array): void {
    this.#revision = revision(this.#revision + 1);
    this.#rows.set(key, { key, value, revision: this.#revision });
  }
}

export interface ReachedTableOptions {
  readonly table: MemoryTable;
  readonly reach: () => StoreReach;
  readonly timers: TimerService;
  /** The store's newest position. */
  readonly position: () => FeedPosition;
  /** The store's clock in milliseconds. */
  readonly clock: () => number;
}

export class ReachedTable extends RowTable {
  readonly #options: ReachedTableOptions;

  constructor(options: ReachedTableOptions) {
    super();
    this.#options = options;
  }

  override readAll(): ReturnType<RowTable['readAll']> {
    const { table, reach, timers, position, clock } = this.#options;
    return callStore(reach(), timers, () =>
      succeed({
        rows: table.rows,
        position: position(),
        storeTime: clock(),
      }),
    );
  }

  override put(key: string, value: Uint8Array): ReturnType<RowTable['put']> {
    const { table, reach, timers } = this.#options;
    return callStore(reach(), timers, () => {
      table.put(key, value);
      return succeed(FIRST_ERA);
    });
  }

  override replace(
    key: string,
    value: Uint8Array,
    expected: Revision,
  ): ReturnType<RowTable['replace']> {
    const { table, reach, timers } = this.#options;
    return callStore<StoreEra, RowConflict>(reach(), timers, () => {
      if (table.revisionOf(key) !== expected) {
        return fail({ kind: 'conflict' });
      }
      table.put(key, value);
      return succeed(FIRST_ERA);
    });
  }
}
