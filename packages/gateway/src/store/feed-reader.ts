/**
 * Reads a table of the store when this router must: always while it reads for the
 * fleet, otherwise only when no peer has confirmed the table recently. Recovers
 * from outages, lost history, and a restore of the store from an older copy.
 */
import type { Random } from '@sesamegrade/core/random/random';
import type { FeedCoverage } from '@sesamegrade/core/store/feed-coverage';
import type { StoreClock } from '@sesamegrade/core/store/store-clock';
import type { StoreEra } from '@sesamegrade/core/store/feed-position';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { elapsed, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { DecisionLog } from '../logs/decision-log';
import type { FeedPage, FeedSource, StoreFailure } from './feed-source';

const BASE_RETRY_DELAY: Milliseconds = milliseconds(150);
/** Below the time within which the recovery of the store must be noticed. */
const MAX_READER_RETRY_DELAY: Milliseconds = milliseconds(900);
/** Others are woken by the readers' confirmations once the store is back. */
const MAX_RETRY_DELAY: Milliseconds = milliseconds(2500);
/**
 * Share of the bound for which a reader lets the store wait for changes: a
 * connection that has fallen silent shows itself only after that time, and the
 * other routers must still be able to read within the bound.
 */
const POLL_SHARE = 0.4;

/** Failures after which the changes would fail again, so that the whole table is read. */
const RESTART_KINDS: ReadonlySet<StoreFailure['kind']> = new Set([
  'history-lost',
  'malformed',
  'too-large',
]);

export interface FeedListener {
  /** Receives all rows as of one position; `madeAt` is when the store read them. */
  onList(page: FeedPage, madeAt: Instant): void;
  /** Receives the rows that changed since the last page. */
  onChanges(page: FeedPage, madeAt: Instant): void;
  /** The store responded again after one or more failures. */
  onRecovered(): void;
}

export interface FeedReaderOptions {
  readonly source: FeedSource;
  readonly coverage: FeedCoverage;
  readonly clock: StoreClock;
  /** Time within which a change of the table must be known. */
  readonly bound: Milliseconds;
  readonly listener: FeedListener;
  readonly timers: TimerService;
  readonly random: Random;
  readonly backgroundTasks: BackgroundTasks;
  readonly log: DecisionLog;
  /** Whether this router reads for the fleet and watches the table all the time. */
  readonly isReader: () => boolean;
}

export class FeedReader {
  readonly #options: FeedReaderOptions;
  #era: StoreEra | undefined;
  #isStopped = false;
  #failureCount = 0;
  #mustRead = false;
  #endWait: (() => void) | undefined;

  constructor(options: FeedReaderOptions) {
    this.#options = options;
  }

  /** Whether the last call to the store succeeded. */
  get isHealthy(): boolean {
    return this.#failureCount === 0 && this.#era !== undefined;
  }

  start(): void {
    this.#options.backgroundTasks.run('feed-reader', () => this.#run());
  }

  stop(): void {
    this.#isStopped = true;
    this.#endWait?.();
  }

  /** Reads the table without waiting for its turn or for the end of a delay. */
  readNow(): void {
    this.#mustRead = true;
    this.#endWait?.();
  }

  /** Ends a wait if this router has begun to read for the fleet. */
  onDutyChanged(): void {
    if (this.#options.isReader()) {
      this.#endWait?.();
    }
  }

  /** Reads the whole table again, as a peer has seen a newer era of the store. */
  onNewerEra(era: StoreEra): void {
    if (this.#era !== undefined && era > this.#era) {
      this.#options.coverage.reset();
      this.readNow();
    }
  }

  async #run(): Promise<void> {
    while (!this.#hasStopped()) {
      const wasWaiting = await this.#waitForTurn();
      if (this.#hasStopped()) {
        return;
      }
      // After a pause or a failure it matters first whether the store responds at all.
      const mayWait = !wasWaiting && this.#failureCount === 0;
      const failure = await this.#tryRead(mayWait);
      if (failure) {
        await this.#onFailure(failure);
      }
    }
  }

  /** Waits until this router must read; returns whether it had to wait. */
  async #waitForTurn(): Promise<boolean> {
    let hasWaited = false;
    while (!this.#hasStopped() && !this.#mustRead) {
      const { coverage, isReader, timers } = this.#options;
      const dueAt = coverage.dueAt();
      if (isReader() || coverage.position === undefined || !dueAt) {
        break;
      }
      const remaining = elapsed(timers.now(), dueAt);
      if (remaining <= 0) {
        return true;
      }
      // Peers reach the store, so that an earlier failure of this router tells nothing of an outage now.
      this.#failureCount = 0;
      hasWaited = true;
      await this.#wait(remaining);
    }
    const isForced = this.#mustRead;
    this.#mustRead = false;
    return hasWaited || isForced;
  }

  /** A page that cannot be applied is read once more, as part of the whole table. */
  async #tryRead(mayWait: boolean): Promise<StoreFailure | undefined> {
    try {
      return await this.#read(mayWait);
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      return { kind: 'malformed', detail };
    }
  }

  async #read(mayWait: boolean): Promise<StoreFailure | undefined> {
    const { source, listener, coverage, bound, timers, log } = this.#options;
    const sentAt = timers.now();
    const maxWait = milliseconds(mayWait ? bound * POLL_SHARE : 0);
    const after = coverage.position;
    const result =
      after === undefined
        ? await source.readAll()
        : await source.readChanges(after.revision, maxWait);
    if (this.#hasStopped()) {
      return undefined;
    }
    if (!result.ok) {
      return result.failure;
    }
    const page = result.value;
    if (page.unreadable) {
      log.write('feed-rows-unreadable', {
        feed: source.name,
        rows: page.unreadable,
      });
    }
    const { era } = page.position;
    if (this.#era !== undefined && era < this.#era) {
      return { kind: 'unreachable', detail: `response of earlier era ${era}` };
    }
    this.#onResponse();
    const isRestored = this.#era !== undefined && era > this.#era;
    if (isRestored) {
      log.write('store-restored', {
        feed: source.name,
        era,
        before: this.#era,
      });
      this.#options.clock.reset();
    }
    this.#era = era;
    const { storeTime } = page;
    const receivedAt = timers.now();
    const madeAt = this.#options.clock.madeAt({
      storeTime,
      sentAt,
      receivedAt,
    });
    if (after === undefined) {
      listener.onList(page, madeAt);
    } else if (isRestored || era !== after.era) {
      // The revisions read so far are given out again, so only the whole table tells what exists.
      coverage.reset();
    } else {
      listener.onChanges(page, madeAt);
    }
    return undefined;
  }

  #hasStopped(): boolean {
    return this.#isStopped;
  }

  #onResponse(): void {
    const { source, listener, log } = this.#options;
    if (this.#failureCount > 0) {
      log.write('dependency-regained', {
        dependency: source.name,
        failures: this.#failureCount,
      });
      this.#failureCount = 0;
      listener.onRecovered();
    }
  }

  async #onFailure(failure: StoreFailure): Promise<void> {
    const { source, coverage, log } = this.#options;
    if (RESTART_KINDS.has(failure.kind)) {
      log.write('feed-restart', { feed: source.name, failure });
      coverage.reset();
      if (failure.kind === 'history-lost') {
        return;
      }
    }
    if (this.#failureCount === 0) {
      log.write('dependency-lost', { dependency: source.name, failure });
    }
    this.#failureCount += 1;
    await this.#backOff();
  }

  #backOff(): Promise<void> {
    const { random, isReader } = this.#options;
    const doublings = Math.min(this.#failureCount - 1, 5);
    const ceiling = Math.min(
      isReader() ? MAX_READER_RETRY_DELAY : MAX_RETRY_DELAY,
      BASE_RETRY_DELAY * 2 ** doublings,
    );
    const delay = milliseconds(ceiling * (0.5 + random.fraction() / 2));
    return this.#wait(delay);
  }

  #wait(length: Milliseconds): Promise<void> {
    return new Promise(resolve => {
      const cancel = this.#options.timers.after(length, () => {
        resolve();
      });
      this.#endWait = () => {
        cancel();
        resolve();
      };
    });
  }
}
