/**
 * Graceful shutdown: decides which requests a draining router still accepts and
 * when the process may exit. It does not exit before the load balancer and the
 * callers had time to switch to other routers.
 */
import type { ResponseMode } from '@sesamegrade/core/routes/fleet-configuration';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { elapsed, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';

/**
 * The load balancer checks readiness once a second and sends new connections
 * until two checks have failed.
 */
const BALANCER_DELAY: Milliseconds = milliseconds(2600);
/** The process exits this long before the end of the grace period, whatever still runs. */
const EXIT_MARGIN: Milliseconds = milliseconds(500);
/** Time without a running request after which no further one is expected. */
const QUIET_TIME: Milliseconds = milliseconds(400);
/** Time that a request with a complete response is given to end before the process exits. */
const COMPLETE_RESPONSE_TIME: Milliseconds = milliseconds(1500);
const POLL_PERIOD: Milliseconds = milliseconds(50);

export class ShutdownSequence {
  readonly #grace: () => Milliseconds;
  #startedAt: Instant | undefined;

  /**
   * `grace` returns the time from the signal to the forced kill of the process;
   * the setting may be reloaded.
   */
  constructor(grace: () => Milliseconds) {
    this.#grace = grace;
  }

  get hasStarted(): boolean {
    return this.#startedAt !== undefined;
  }

  start(now: Instant): void {
    this.#startedAt ??= now;
  }

  /**
   * Whether a new request is accepted. Streams are refused once the balancer has
   * switched callers to other routers, as a long response might not end before
   * the process exits.
   */
  accepts(shape: ResponseMode, now: Instant): boolean {
    if (this.#startedAt === undefined) {
      return true;
    }
    const sinceStart = elapsed(this.#startedAt, now);
    if (shape.kind === 'stream') {
      return sinceStart < BALANCER_DELAY;
    }
    return sinceStart < this.#grace() - EXIT_MARGIN - COMPLETE_RESPONSE_TIME;
  }

  /**
   * Resolves when no request has run for `QUIET_TIME` after the balancer's delay,
   * or shortly before the grace period ends. Calls `closeIdle` in every poll after
   * the balancer's delay.
   */
  waitUntilDrained(
    timers: TimerService,
    running: () => number,
    closeIdle: () => void,
  ): Promise<void> {
    const startedAt = this.#startedAt ?? timers.now();
    const maxWait = this.#grace() - EXIT_MARGIN;
    let quietSince = startedAt;
    return new Promise(resolve => {
      const cancel = timers.every(POLL_PERIOD, now => {
        const sinceStart = elapsed(startedAt, now);
        if (running() > 0) {
          quietSince = now;
        }
        if (sinceStart >= BALANCER_DELAY) {
          closeIdle();
        }
        const isQuiet =
          sinceStart >= BALANCER_DELAY + QUIET_TIME &&
          elapsed(quietSince, now) >= QUIET_TIME;
        if (isQuiet || sinceStart >= maxWait) {
          cancel();
          resolve();
        }
      });
    });
  }
}
