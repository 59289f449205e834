/**
 * Reads a table once and then watches its changes; recovers from outages of the
 * store and from lost history.
 */
import type { Random } from '@sesamegrade/core/random/random';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { DecisionLog } from '../logs/decision-log';
import type {
  FeedPage,
  FeedSource,
  Revision,
  StoreFailure,
} from './feed-source';

const BASE_RETRY_DELAY: Milliseconds = milliseconds(150);
/** Below the time within which the recovery of the store must be noticed. */
const MAX_RETRY_DELAY: Milliseconds = milliseconds(900);

export interface FeedListener {
  /** Receives all rows as of one revision. */
  onSnapshot(page: FeedPage): void;
  /** Receives the rows that changed since the last page. */
  onChanges(page: FeedPage): void;
  /** The store responded again after one or more failures. */
  onRecovered(): void;
  /** A call to the store failed. */
  onFailure(): void;
}

export interface FeedReaderOptions {
  readonly source: FeedSource;
  readonly listener: FeedListener;
  readonly timers: TimerService;
  readonly random: Random;
  readonly log: DecisionLog;
  /** Wait between changes and the next call, so that a burst of changes costs few calls. */
  readonly changeFeedPause?: () => Milliseconds;
}

export class FeedReader {
  readonly #options: FeedReaderOptions;
  #revision: Revision | undefined;
  #stopped = false;
  #failureCount = 0;
  #endWait: (() => void) | undefined;

  constructor(options: FeedReaderOptions) {
    this.#options = options;
  }

  /** Whether the last call to the store succeeded. */
  get isHealthy(): boolean {
    return this.#failureCount === 0 && this.#revision !== undefined;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped = true;
    this.#endWait?.();
  }

  /** Ends the delay before the next call, as the store is known to respond again. */
  retryNow(): void {
    this.#endWait?.();
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      const failure = await this.#readPage();
      if (failure) {
        await this.#onFailure(failure);
      }
    }
  }

  async #readPage(): Promise<StoreFailure | undefined> {
    const { source, listener } = this.#options;
    const after = this.#revision;
    const result =
      after === undefined
        ? await source.readAll()
        : await source.readChanges(
            after,
            this.#failureCount > 0 ? 'immediate' : 'long-poll',
          );
    if (this.#isStopped()) {
      return undefined;
    }
    if (!result.ok) {
      return result.failure;
    }
    this.#onResponse();
    const page = result.value;
    this.#revision = page.revision;
    if (after === undefined) {
      listener.onSnapshot(page);
    } else {
      listener.onChanges(page);
      await this.#batchChanges(page);
    }
    return undefined;
  }

  /** Waits after changes, so that one call can read further ones together. */
  async #batchChanges({ rows }: FeedPage): Promise<void> {
    const delay = this.#options.changeFeedPause?.() ?? milliseconds(0);
    if (rows.length > 0 && delay > 0) {
      await this.#wait(delay);
    }
  }

  #isStopped(): boolean {
    return this.#stopped;
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
    const { source, listener, log } = this.#options;
    if (failure.kind === 'history-lost' || failure.kind === 'malformed') {
      log.write('feed-restart', { feed: source.name, failure });
      this.#revision = undefined;
      if (failure.kind === 'history-lost') {
        return;
      }
    }
    if (this.#failureCount === 0) {
      log.write('dependency-lost', { dependency: source.name, failure });
    }
    this.#failureCount += 1;
    listener.onFailure();
    await this.#backOff();
  }

  #backOff(): Promise<void> {
    const { random } = this.#options;
    const doublings = Math.min(this.#failureCount - 1, 4);
    const ceiling = Math.min(
      MAX_RETRY_DELAY,
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
