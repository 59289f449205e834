/**
 * Writes origins of streams into the store's table in batches. A row is written only with
 * the revision that is known of it, so that no other writer's records are lost, and is used
 * again once the streams that it names can no longer be resumed.
 */
import type { Random } from '@sesamegrade/core/random/random';
import type { StreamOrigin } from '@sesamegrade/core/software-versions/stream-origins';
import { revision } from '@sesamegrade/core/store/feed-position';
import type { Revision } from '@sesamegrade/core/store/feed-position';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { elapsed, milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { DecisionLog } from '../logs/decision-log';
import type { RowTable } from '../store/row-table';
import { encodeOrigins, originsKey } from './origin-row';
import type { OriginTable } from './origin-table';

/** Minimum time between the begins of two writes. */
const WRITE_PERIOD: Milliseconds = milliseconds(100);
/** Largest number of origins in a row, which keeps it below 64 KiB. */
const MAX_PER_ROW = 1500;
/** Time after which a new row is begun. */
const ROW_SPAN: Milliseconds = seconds(1);
/** Time beyond the life of a stream for which its record is kept. */
const RETENTION_MARGIN: Milliseconds = seconds(10);
/** Rows among which a new one is picked by chance, as several routers may write. */
const PICKED_ROWS = 32;
const MAX_ROWS = 4096;
/** Attempts to write a batch while others write the same rows. */
const MAX_TRIES = 3;

export interface OriginWriterOptions {
  readonly streamRows: Pick<RowTable, 'replace'>;
  readonly originTable: OriginTable;
  /** Longest time from the begin of a stream to its last resumption. */
  readonly streamLifetime: () => Milliseconds;
  readonly random: Random;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
  readonly log: DecisionLog;
}

/** Time for which a batch waits; its sender has given it up by then. */
const MAX_WAIT: Milliseconds = milliseconds(400);

interface Batch {
  readonly queuedAt: Instant;
  readonly origins: readonly StreamOrigin[];
  readonly resolve: (isStored: boolean) => void;
}

/** The row that is being filled. */
interface OpenRow {
  readonly key: string;
  readonly number: number;
  readonly at: number;
  readonly begunAt: Instant;
  readonly revision: Revision;
  readonly origins: readonly StreamOrigin[];
}

export class OriginWriter {
  readonly #options: OriginWriterOptions;
  readonly #queue: Batch[] = [];
  #row: OpenRow | undefined;
  #isScheduled = false;
  #lastWriteAt: Instant | undefined;

  constructor(options: OriginWriterOptions) {
    this.#options = options;
  }

  /** Resolves once the store has taken the origins, or with false if it has not. */
  write(origins: readonly StreamOrigin[]): Promise<boolean> {
    return new Promise(resolve => {
      const queuedAt = this.#options.timers.now();
      this.#queue.push({ queuedAt, origins, resolve });
      this.#schedule();
    });
  }

  /** Begins a new row, as the store was restored from an older copy. */
  reset(): void {
    this.#row = undefined;
  }

  #schedule(): void {
    if (this.#isScheduled || this.#queue.length === 0) {
      return;
    }
    this.#isScheduled = true;
    const { timers, backgroundTasks } = this.#options;
    const passed =
      this.#lastWriteAt === undefined
        ? WRITE_PERIOD
        : elapsed(this.#lastWriteAt, timers.now());
    timers.after(milliseconds(Math.max(0, WRITE_PERIOD - passed)), now => {
      this.#lastWriteAt = now;
      backgroundTasks.run('stream-rows', async () => {
        try {
          await this.#writeNext();
        } finally {
          this.#isScheduled = false;
          this.#schedule();
        }
      });
    });
  }

  async #writeNext(): Promise<void> {
    this.#dropLate();
    const batches: Batch[] = [];
    let count = 0;
    for (const batch of this.#queue) {
      count += batch.origins.length;
      if (batches.length > 0 && count > MAX_PER_ROW) {
        break;
      }
      batches.push(batch);
    }
    this.#queue.splice(0, batches.length);
    if (batches.length === 0) {
      return;
    }
    let isStored = false;
    try {
      isStored = await this.#write(batches.flatMap(({ origins }) => origins));
    } finally {
      batches.forEach(({ resolve }) => {
        resolve(isStored);
      });
    }
  }

  #dropLate(): void {
    const now = this.#options.timers.now();
    const late = this.#queue.filter(
      ({ queuedAt }) => elapsed(queuedAt, now) > MAX_WAIT,
    );
    this.#queue.splice(0, late.length);
    late.forEach(({ resolve }) => {
      resolve(false);
    });
  }

  async #write(origins: readonly StreamOrigin[]): Promise<boolean> {
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const row = await this.#openRow(origins.length);
      if (!row) {
        return false;
      }
      const written = await this.#replace(row, [...row.origins, ...origins]);
      if (written !== 'conflict') {
        return written === 'stored';
      }
    }
    return false;
  }

  async #replace(
    row: OpenRow,
    origins: readonly StreamOrigin[],
  ): Promise<'stored' | 'conflict' | 'failed'> {
    const { streamRows, originTable, streamLifetime, log } = this.#options;
    const { key, number, at } = row;
    // The outcome of a call without a response is not known, so that the row is left then.
    this.#row = undefined;
    const lifetime = streamLifetime();
    const value = encodeOrigins(number, at, lifetime, origins);
    const written = await streamRows.replace(key, value, row.revision);
    if (written.ok) {
      const { revision: newRevision } = written.value;
      this.#row = { ...row, origins, revision: newRevision };
      const known = { revision: newRevision, number, at, lifetime };
      originTable.onWritten(key, known);
      return 'stored';
    }
    log.write('streams-not-stored', { failure: written.failure });
    return written.failure.kind === 'conflict' ? 'conflict' : 'failed';
  }

  /** The row to write to; undefined if the table cannot be read or is full. */
  async #openRow(added: number): Promise<OpenRow | undefined> {
    const { originTable, timers } = this.#options;
    const row = this.#row;
    const hasRoom =
      row !== undefined &&
      row.origins.length + added <= MAX_PER_ROW &&
      elapsed(row.begunAt, timers.now()) < ROW_SPAN;
    if (hasRoom) {
      return row;
    }
    // After a conflict or before the first row the copy lacks rows of others.
    if (row === undefined && !(await originTable.read())) {
      return undefined;
    }
    return this.#newRow();
  }

  #newRow(): OpenRow | undefined {
    const { originTable, random, timers } = this.#options;
    const { rows } = originTable;
    const now = timers.now();
    const at = originTable.storeTime(now);
    const free: string[] = [];
    for (
      let slot = 0;
      slot < MAX_ROWS && free.length < PICKED_ROWS;
      slot += 1
    ) {
      const key = originsKey(slot);
      if (this.#isFree(key, at, now)) {
        free.push(key);
      }
    }
    if (free.length === 0) {
      return undefined;
    }
    const key = random.pick(free);
    const numbers = [...rows.values()].map(({ number }) => number);
    return {
      key,
      number: Math.max(0, ...numbers) + 1,
      at,
      begunAt: now,
      revision: rows.get(key)?.revision ?? revision(0),
      origins: [],
    };
  }

  /** Whether a row does not exist, or names only streams that can no longer be resumed. */
  #isFree(key: string, storeTime: number, now: Instant): boolean {
    const { originTable, streamLifetime } = this.#options;
    const row = originTable.rows.get(key);
    if (row?.at === undefined) {
      return row === undefined;
    }
    const lifetime = Math.max(streamLifetime(), row.lifetime);
    const retention = lifetime + ROW_SPAN + RETENTION_MARGIN;
    return (
      storeTime - row.at > retention &&
      // The store's clock may have stepped.
      originTable.timeUnchanged(key, now) > retention
    );
  }
}
