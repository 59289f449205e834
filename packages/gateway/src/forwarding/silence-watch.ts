/** Reports the silence of the endpoint of an attempt, again for each time limit that it lasts. */
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';

export interface SilenceWatchOptions {
  readonly timers: TimerService;
  /** The silence that is tolerated next. */
  readonly limit: () => Milliseconds;
  /** Whether bytes of the endpoint are awaited: not while it is being connected to, or paused. */
  readonly isAwaited: () => boolean;
  readonly onSilence: (now: Instant) => void;
}

export class SilenceWatch {
  readonly #options: SilenceWatchOptions;
  #cancel: (() => void) | undefined;
  #isStopped = false;

  constructor(options: SilenceWatchOptions) {
    this.#options = options;
  }

  /** Begins to wait, also again after a sign of life. */
  restart(): void {
    this.#cancel?.();
    if (this.#isStopped) {
      return;
    }
    const { timers, limit } = this.#options;
    this.#cancel = timers.after(limit(), now => {
      this.restart();
      if (this.#options.isAwaited()) {
        this.#options.onSilence(now);
      }
    });
  }

  stop(): void {
    this.#isStopped = true;
    this.#cancel?.();
  }
}
