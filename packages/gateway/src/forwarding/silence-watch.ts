/** Aborts an attempt whose endpoint has sent nothing for too long. */
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';

export interface SilenceWatchOptions {
  readonly timers: TimerService;
  /** The silence that is tolerated next. */
  readonly limit: () => Milliseconds;
  /** Whether the request has been sent, as a connection that is being made is not silent. */
  readonly wasSent: () => boolean;
  /** Whether a silent attempt is worth aborting. */
  readonly isHopeless: (now: Instant) => boolean;
  readonly abort: () => void;
}

export class SilenceWatch {
  readonly #options: SilenceWatchOptions;
  #cancel: (() => void) | undefined;

  constructor(options: SilenceWatchOptions) {
    this.#options = options;
  }

  /** Begins to wait, also again after a sign of life. */
  restart(): void {
    const { timers, limit } = this.#options;
    this.#cancel?.();
    this.#cancel = timers.after(limit(), now => {
      this.#onSilence(now);
    });
  }

  stop(): void {
    this.#cancel?.();
  }

  #onSilence(now: Instant): void {
    const { wasSent, isHopeless, abort } = this.#options;
    if (!wasSent()) {
      this.restart();
    } else if (isHopeless(now)) {
      abort();
    }
  }
}
