/** Reports the silence of the endpoint of an attempt, again for each time limit that it lasts. */
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { addTime, elapsed, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';

export interface SilenceWatchOptions {
  readonly timers: TimerService;
  /** The silence that is tolerated next. */
  readonly limit: () => Milliseconds;
  /** Whether bytes of the endpoint are awaited: not while it is being connected to, or paused. */
  readonly isAwaited: () => boolean;
  readonly onSilence: (now: Instant) => void;
}

/** Moves one timer on instead of setting one anew with each event of a stream. */
export class SilenceWatch {
  readonly #options: SilenceWatchOptions;
  #cancel: (() => void) | undefined;
  /** When the timer fires; undefined if there is none. */
  #firesAt: Instant | undefined;
  /** When the silence lasts too long. */
  #dueAt: Instant | undefined;
  #isStopped = false;

  constructor(options: SilenceWatchOptions) {
    this.#options = options;
  }

  /** Begins to wait, also again after a sign of life. */
  restart(): void {
    if (this.#isStopped) {
      return;
    }
    const { timers, limit } = this.#options;
    this.#dueAt = addTime(timers.now(), limit());
    if (this.#firesAt === undefined || this.#firesAt > this.#dueAt) {
      this.#setTimer(this.#dueAt);
    }
  }

  stop(): void {
    this.#isStopped = true;
    this.#cancel?.();
  }

  #setTimer(dueAt: Instant): void {
    const { timers } = this.#options;
    this.#cancel?.();
    this.#firesAt = dueAt;
    const delay = milliseconds(Math.max(0, elapsed(timers.now(), dueAt)));
    this.#cancel = timers.after(delay, now => {
      this.#firesAt = undefined;
      this.#onTimer(now);
    });
  }

  #onTimer(now: Instant): void {
    if (this.#dueAt !== undefined && this.#dueAt > now) {
      this.#setTimer(this.#dueAt);
      return;
    }
    this.restart();
    if (this.#options.isAwaited()) {
      this.#options.onSilence(now);
    }
  }
}
