/** A table of the routers in memory, and what one router reaches of it. */
import { FIRST_ERA, revision } from '@sesamegrade/core/store/feed-position';
import type {
  FeedPosition,
  Revision,
} from '@sesamegrade/core/store/feed-position';
import { fail, succeed } from '@sesamegrade/core/types/result';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { Result } from '@sesamegrade/core/types/result';
import type { FeedRow, StoreFailure } from '../../store/feed-source';
import { FeedSource } from '../../store/feed-source';
import { RowTable } from '../../store/row-table';
import type { RowConflict, WrittenRow } from '../../store/row-table';

/** Whether the store answers a router, rejects its calls, never responds, or does so without an answer what it is asked. */
export type StoreReach = 'answers' | 'rejects' | 'silent' | 'mute';

/** Time after which a call without a response fails. */
const CALL_TIMEOUT: Milliseconds = milliseconds(1500);

/** Makes a call of the store as far as a router reaches it, which takes effect halfway. */
export function callStore<Value, Failure = never>(
  reach: StoreReach,
  timers: TimerService,
  answer: () => Result<Value, Failure>,
  time = 0,
): Promise<Result<Value, Failure | StoreFailure>> {
  switch (reach) {
    case 'answers':
      return time === 0
        ? Promise.resolve(answer())
        : new Promise(resolve => {
            timers.after(milliseconds(time / 2), () => {
              const result = answer();
              timers.after(milliseconds(time / 2), () => {
                resolve(result);
              });
            });
          });
    case 'rejects':
      return Promise.resolve(fail({ kind: 'turned-away', status: 503 }));
    case 'mute':
    case 'silent':
      if (reach === 'mute') {
        answer();
      }
      return new Promise(resolve => {
        timers.after(CALL_TIMEOUT, () => {
          resolve(fail({ kind: 'unreachable', detail: 'timeout' }));
        });
      });
  }
}

/** The store's counter of changes, which its tables share, with the time of each change. */
export class RevisionCounter {
  readonly #times: number[] = [];

  /** Position of the store as of a time. */
  position(at: number): FeedPosition {
    const later = this.#times.findIndex(time => time > at);
    const last = later < 0 ? this.#times.length : later;
    return { era: FIRST_ERA, revision: revision(last) };
  }

  next(now: number): Revision {
    this.#times.push(now);
    return revision(this.#times.length);
  }
}

export class MemoryTable {
  /** All changes from the first one on. */
  readonly #changes: FeedRow[] = [];
  readonly #counter: RevisionCounter;

  constructor(counter: RevisionCounter) {
    this.#counter = counter;
  }

  /** The last change of each row up to a position. */
  rows(position: FeedPosition): FeedRow[] {
    const rows = this.#changes
      .filter(change => change.revision <= position.revision)
      .map(change => [change.key, change] as const);
    return [...new Map(rows).values()];
  }

  revisionOf(key: string): Revision {
    const last = this.#changes.findLast(change => change.key === key);
    return last?.revision ?? revision(0);
  }

  /** Number of times that a row was written. */
  writes(key: string): number {
    return this.#changes.filter(change => change.key === key).length;
  }

  put(key: string, value: Uint8Array, now: number): void {
    this.#changes.push({ key, value, revision: this.#counter.next(now) });
  }
}

export interface ReachedTableOptions {
  readonly table: MemoryTable;
  readonly reach: () => StoreReach;
  readonly timers: TimerService;
  /** Position of the store that its answers show. */
  readonly position: () => FeedPosition;
  /** Time in milliseconds by which changes are ordered. */
  readonly clock: () => number;
  /** The store's clock in milliseconds, if it differs from that. */
  readonly storeClock?: () => number;
  /** Time in ms that a call takes; none if left out. */
  readonly callTime?: () => number;
  /** Receives the size in bytes of each value that is written. */
  readonly onWritten?: (key: string, size: number) => void;
  /** Receives the sizes in bytes of the values that a read returns. */
  readonly onRead?: (size: number) => void;
}

export class ReachedTable extends RowTable {
  readonly #options: ReachedTableOptions;

  constructor(options: ReachedTableOptions) {
    super();
    this.#options = options;
  }

  override readAll(): ReturnType<RowTable['readAll']> {
    const { table, reach, timers, position, clock, storeClock } = this.#options;
    return callStore(reach(), timers, () =>
      succeed({
        rows: table.rows(position()),
        position: position(),
        storeTime: (storeClock ?? clock)(),
      }),
    );
  }

  override put(key: string, value: Uint8Array): ReturnType<RowTable['put']> {
    const { table, reach, timers, clock } = this.#options;
    return callStore(reach(), timers, () => {
      table.put(key, value, clock());
      return succeed(FIRST_ERA);
    });
  }

  override replace(
    key: string,
    value: Uint8Array,
    expected: Revision,
  ): ReturnType<RowTable['replace']> {
    const { table, reach, timers, clock, callTime, onWritten } = this.#options;
    onWritten?.(key, value.length);
    const write = (): Result<WrittenRow, RowConflict> => {
      if (table.revisionOf(key) !== expected) {
        return fail({ kind: 'conflict' });
      }
      table.put(key, value, clock());
      return succeed({ era: FIRST_ERA, revision: table.revisionOf(key) });
    };
    return callStore(reach(), timers, write, callTime?.());
  }
}

/** The same table as a feed. */
export class ReachedFeed extends FeedSource {
  override readonly name = 'memory';
  readonly #options: ReachedTableOptions;

  constructor(options: ReachedTableOptions) {
    super();
    this.#options = options;
  }

  override readAll(): ReturnType<FeedSource['readAll']> {
    return this.readChanges(revision(0));
  }

  override readChanges(after: Revision): ReturnType<FeedSource['readAll']> {
    const { table, reach, timers, position, clock, storeClock } = this.#options;
    const { callTime, onRead } = this.#options;
    const read = () => {
      const rows = table.rows(position()).filter(row => row.revision > after);
      onRead?.(rows.reduce((sum, { value }) => sum + (value?.length ?? 0), 0));
      const storeTime = (storeClock ?? clock)();
      return succeed({ rows, position: position(), storeTime });
    };
    return callStore(reach(), timers, read, callTime?.());
  }
}
