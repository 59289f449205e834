/** When a stopping router may end: not before callers had time to go elsewhere. */
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { addTime, elapsed, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';

/** The balancer asks once a second and sends new connections until two answers are missing. */
const BALANCER_TIME: Milliseconds = milliseconds(2600);
/** Part of the grace after which unused connections are ended, so that callers go elsewhere. */
const CLOSE_IDLE_SHARE = 0.45;
/** Time before the end of the grace at which the process ends in any case. */
const END_MARGIN: Milliseconds = milliseconds(250);
/** Time without a request after which nothing more is expected. */
const QUIET_TIME: Milliseconds = milliseconds(400);
const POLL: Milliseconds = milliseconds(50);

export class StopPlan {
  readonly #begun: Instant;
  readonly #grace: Milliseconds;

  constructor(grace: Milliseconds, now: Instant) {
    this.#grace = grace;
    this.#begun = now;
  }

  /** Returns when no request has run for a while after the balancer's time, or the grace is over. */
  wait(
    timers: TimerService,
    running: () => number,
    closeIdle: () => void,
  ): Promise<void> {
    const end = addTime(this.#begun, milliseconds(this.#grace - END_MARGIN));
    const closeAt = milliseconds(
      Math.max(BALANCER_TIME, this.#grace * CLOSE_IDLE_SHARE),
    );
    let quietSince = this.#begun;
    return new Promise(resolve => {
      const cancel = timers.every(POLL, now => {
        const past = elapsed(this.#begun, now);
        if (running() > 0) {
          quietSince = now;
        }
        if (past >= closeAt) {
          closeIdle();
        }
        const isQuiet =
          past >= closeAt + QUIET_TIME &&
          elapsed(quietSince, now) >= QUIET_TIME;
        if (isQuiet || elapsed(end, now) >= 0) {
          cancel();
          resolve();
        }
      });
    });
  }
}
