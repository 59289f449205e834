/** Reads a table once and then follows its changes, through outages and lost history. */
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

const FIRST_RETRY: Milliseconds = milliseconds(150);
/** Under the time in which a return of the store must be noticed. */
const LONGEST_RETRY: Milliseconds = milliseconds(900);

export interface FeedListener {
  /** All rows as of one moment. */
  onSnapshot(page: FeedPage): void;
  /** Rows that changed since the last page. */
  onChanges(page: FeedPage): void;
  /** The store answered after it had failed to. */
  onRecovered(): void;
  /** The store failed to answer. */
  onFailure(): void;
}

export interface FeedReaderOptions {
  readonly source: FeedSource;
  readonly listener: FeedListener;
  readonly timers: TimerService;
  readonly random: Random;
  readonly log: DecisionLog;
  /** Wait between changes and the next call, so that a wave of them costs few calls. */
  readonly changeFeedPause?: () => Milliseconds;
}

export class FeedReader {
  readonly #options: FeedReaderOptions;
  #revision: Revision | undefined;
  #stopped = false;
  #failures = 0;
  #wake: (() => void) | undefined;

  constructor(options: FeedReaderOptions) {
    this.#options = options;
  }

  /** Whether the last answer of the store was one. */
  get isHealthy(): boolean {
    return this.#failures === 0 && this.#revision !== undefined;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped = true;
    this.#wake?.();
  }

  /** Ends the pause before the next try, as the store is known to answer. */
  retryNow(): void {
    this.#wake?.();
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      const failure = await this.#step();
      if (failure) {
        await this.#failed(failure);
      }
    }
  }

  async #step(): Promise<StoreFailure | undefined> {
    const { source, listener } = this.#options;
    const after = this.#revision;
    const result =
      after === undefined
        ? await source.readAll()
        : await source.readChanges(
            after,
            this.#failures > 0 ? 'at-once' : 'held',
          );
    if (this.#isStopped()) {
      return undefined;
    }
    if (!result.ok) {
      return result.failure;
    }
    this.#answered();
    const page = result.value;
    this.#revision = page.revision;
    if (after === undefined) {
      listener.onSnapshot(page);
    } else {
      listener.onChanges(page);
      await this.#gather(page);
    }
    return undefined;
  }

  /** Lets further changes gather. */
  async #gather({ rows }: FeedPage): Promise<void> {
    const pause = this.#options.changeFeedPause?.() ?? milliseconds(0);
    if (rows.length > 0 && pause > 0) {
      await this.#wait(pause);
    }
  }

  #isStopped(): boolean {
    return this.#stopped;
  }

  #answered(): void {
    const { source, listener, log } = this.#options;
    if (this.#failures > 0) {
      log.write('dependency-regained', {
        dependency: source.name,
        failures: this.#failures,
      });
      this.#failures = 0;
      listener.onRecovered();
    }
  }

  async #failed(failure: StoreFailure): Promise<void> {
    const { source, listener, log } = this.#options;
    if (failure.kind === 'history-lost' || failure.kind === 'malformed') {
      log.write('feed-restart', { feed: source.name, failure });
      this.#revision = undefined;
      if (failure.kind === 'history-lost') {
        return;
      }
    }
    if (this.#failures === 0) {
      log.write('dependency-lost', { dependency: source.name, failure });
    }
    this.#failures += 1;
    listener.onFailure();
    await this.#pause();
  }

  #pause(): Promise<void> {
    const { random } = this.#options;
    const doublings = Math.min(this.#failures - 1, 4);
    const ceiling = Math.min(LONGEST_RETRY, FIRST_RETRY * 2 ** doublings);
    const delay = milliseconds(ceiling * (0.5 + random.fraction() / 2));
    return this.#wait(delay);
  }

  #wait(length: Milliseconds): Promise<void> {
    return new Promise(resolve => {
      const cancel = this.#options.timers.after(length, () => {
        resolve();
      });
      this.#wake = () => {
        cancel();
        resolve();
      };
    });
  }
}
