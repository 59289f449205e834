/** What a stopping router still takes, and when it may end: not before callers had time to go elsewhere. */
import type { AnswerShape } from '@sesamegrade/core/routes/fleet-configuration';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { elapsed, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';

/** The balancer asks once a second and sends new connections until two answers are missing. */
const BALANCER_TIME: Milliseconds = milliseconds(2600);
/** Time before the end of the grace at which the process ends in any case. */
const END_MARGIN: Milliseconds = milliseconds(500);
/** Time without a request after which nothing more is expected. */
const QUIET_TIME: Milliseconds = milliseconds(400);
/** Time that a plain call is given before the process ends. */
const CALL_TIME: Milliseconds = milliseconds(1500);
const POLL: Milliseconds = milliseconds(50);

export class ShutdownSequence {
  readonly #grace: () => Milliseconds;
  #begun: Instant | undefined;

  /** Takes the time from the signal to the forced end of the process, as it is in force. */
  constructor(grace: () => Milliseconds) {
    this.#grace = grace;
  }

  get hasStarted(): boolean {
    return this.#begun !== undefined;
  }

  start(now: Instant): void {
    this.#begun ??= now;
  }

  /**
   * Whether a request is taken. After the balancer's time callers have other
   * routers, and a long answer might not end before the process does.
   */
  accepts(answer: AnswerShape, now: Instant): boolean {
    if (this.#begun === undefined) {
      return true;
    }
    const past = elapsed(this.#begun, now);
    if (answer.kind === 'stream') {
      return past < BALANCER_TIME;
    }
    return past < this.#grace() - END_MARGIN - CALL_TIME;
  }

  /** Returns when no request has run for a while after the balancer's time, or the grace is over. */
  waitUntilDrained(
    timers: TimerService,
    running: () => number,
    closeIdle: () => void,
  ): Promise<void> {
    const begun = this.#begun ?? timers.now();
    const longest = this.#grace() - END_MARGIN;
    let quietSince = begun;
    return new Promise(resolve => {
      const cancel = timers.every(POLL, now => {
        const past = elapsed(begun, now);
        if (running() > 0) {
          quietSince = now;
        }
        if (past >= BALANCER_TIME) {
          closeIdle();
        }
        const isQuiet =
          past >= BALANCER_TIME + QUIET_TIME &&
          elapsed(quietSince, now) >= QUIET_TIME;
        if (isQuiet || past >= longest) {
          cancel();
          resolve();
        }
      });
    });
  }
}
