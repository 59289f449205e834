/**
 * Graceful shutdown: decides which requests a draining router still accepts, by when
 * it has answered them, and when the process may exit. It does not exit before
 * the load balancer and the callers had time to switch to other routers.
 */
import type { ResponseMode } from '@sesamegrade/core/routes/fleet-configuration';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { addTime, elapsed, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';

/**
 * The load balancer checks readiness once a second and sends new connections
 * until two checks have failed.
 */
const BALANCER_DELAY: Milliseconds = milliseconds(2600);
/** The process begins to exit this long before the end of the grace period, whatever still runs. */
const EXIT_MARGIN: Milliseconds = milliseconds(500);
/** Largest share of the grace period that the margin takes, and its smallest length. */
const EXIT_MARGIN_SHARE = 1 / 8;
const MIN_EXIT_MARGIN: Milliseconds = milliseconds(100);
/** Time before the exit in which the responses of requests without one are written. */
const LAST_RESPONSE_TIME: Milliseconds = milliseconds(300);
/** Time without a running request after which no further one is expected. */
const QUIET_TIME: Milliseconds = milliseconds(400);
const POLL_PERIOD: Milliseconds = milliseconds(50);

/** What decides whether a draining router begins an attempt of a request. */
export interface AdmissionQuery {
  readonly answer: ResponseMode;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** When the request times out. */
  readonly expiresAt: Instant;
}

/** The time at which the process was told to stop, as far as it can know it. */
export interface SignalTime {
  /** The signal was not sent before this. */
  readonly earliest: Instant;
  /** When the signal was handled. */
  readonly latest: Instant;
}

/** Which requests are ended: those whose callers cannot see by the end of the process that they failed, or all. */
export type EndScope = 'unanswered' | 'all';

/** What a draining router waits for, and how it ends it. */
export interface DrainedWork {
  /** Number of requests that run or whose response is not written yet. */
  readonly running: () => number;
  /** Called in every poll after the balancer's delay. */
  readonly closeIdle: () => void;
  /** Ends requests that still run; called in every poll once the time for it has come. */
  readonly endRunning: (scope: EndScope) => void;
  /**
   * Breaks off the responses whose end is only that of their connection, which the kill of the
   * process would pass for; called in every poll from shortly before the earliest kill on.
   */
  readonly resetUnframed: () => void;
}

export class ShutdownSequence {
  readonly #grace: () => Milliseconds;
  #signal: SignalTime | undefined;
  #shortestGrace: Milliseconds | undefined;

  /**
   * `grace` returns the time from the signal to the forced kill of the process. The
   * setting may be reloaded: during a shutdown only a shorter time is heeded, as the
   * kill may have been timed at the signal.
   */
  constructor(grace: () => Milliseconds) {
    this.#grace = grace;
  }

  get hasStarted(): boolean {
    return this.#signal !== undefined;
  }

  /** Undefined if the router is not stopping. */
  get signal(): SignalTime | undefined {
    return this.#signal;
  }

  /**
   * Time by which every request has a response or the begin of one; undefined if the router is
   * not stopping. The process may be killed a grace period after the earliest time of the signal.
   */
  get answersBy(): Instant | undefined {
    return this.#signal === undefined
      ? undefined
      : addTime(
          this.#signal.earliest,
          milliseconds(Math.max(0, this.#timeToExit - LAST_RESPONSE_TIME)),
        );
  }

  /**
   * Time at which responses that have begun are broken off; undefined if the router is not
   * stopping. Their callers see no difference between that and the kill, so that it counts from
   * the latest time of the signal.
   */
  get breaksOffAt(): Instant | undefined {
    return this.#signal === undefined
      ? undefined
      : addTime(this.#signal.latest, this.#timeToExit);
  }

  start(earliest: Instant, latest = earliest): void {
    this.#signal ??= { earliest, latest };
  }

  /**
   * Whether a request is accepted. It is if it times out before the router has to
   * answer. Until the balancer has switched callers to other routers, others are
   * accepted too, as most end in time: all but plain ones that may not be repeated.
   */
  accepts(
    { answer, repeatable, expiresAt }: AdmissionQuery,
    now: Instant,
  ): boolean {
    const { answersBy } = this;
    if (this.#signal === undefined || answersBy === undefined) {
      return true;
    }
    if (now >= answersBy) {
      return false;
    }
    const mayBeBrokenOff = repeatable || answer.kind === 'stream';
    return (
      expiresAt <= answersBy ||
      (mayBeBrokenOff && elapsed(this.#signal.earliest, now) < BALANCER_DELAY)
    );
  }

  /**
   * Whether a request that was accepted gets another attempt. One that may be repeated
   * gets it while its response is expected in time, as its caller can repeat it as well.
   */
  continues(query: AdmissionQuery, goal: Milliseconds, now: Instant): boolean {
    const { answersBy } = this;
    const isExpectedInTime =
      answersBy === undefined || elapsed(now, answersBy) >= goal;
    return this.accepts(query, now) || (query.repeatable && isExpectedInTime);
  }

  /**
   * Resolves when nothing has run for `QUIET_TIME` after the balancer's delay, or
   * everything has ended, or shortly before the grace period ends.
   */
  waitUntilDrained(
    timers: TimerService,
    { running, closeIdle, endRunning, resetUnframed }: DrainedWork,
  ): Promise<void> {
    const begin = timers.now();
    this.start(begin);
    // The balancer sees that the router is not ready once the signal is handled.
    const { earliest = begin, latest: handledAt = begin } = this.#signal ?? {};
    let quietSince = begin;
    let wasQuiet = false;
    let hasAnswered = false;
    let hasEnded = false;
    return new Promise(resolve => {
      const cancel = timers.every(POLL_PERIOD, now => {
        const sinceHandled = elapsed(handledAt, now);
        if (running() > 0) {
          quietSince = now;
        }
        if (sinceHandled >= BALANCER_DELAY) {
          closeIdle();
        }
        const isQuiet =
          sinceHandled >= BALANCER_DELAY + QUIET_TIME &&
          elapsed(quietSince, now) >= QUIET_TIME;
        if (
          hasEnded ||
          (hasAnswered && running() === 0) ||
          (isQuiet && wasQuiet)
        ) {
          cancel();
          resolve();
          return;
        }
        // What is written now reaches the callers before the next poll, also if that is late.
        if (now >= (this.breaksOffAt ?? now)) {
          hasEnded = true;
          endRunning('all');
        } else if (now >= (this.answersBy ?? now)) {
          hasAnswered = true;
          endRunning('unanswered');
        }
        if (elapsed(earliest, now) >= this.#timeToExit) {
          resetUnframed();
        }
        // After a late poll, requests that arrived before it are read before the next one.
        wasQuiet = isQuiet;
      });
    });
  }

  /** Time from the signal to the exit at the latest. */
  get #timeToExit(): Milliseconds {
    const grace = Math.min(
      this.#shortestGrace ?? Number.POSITIVE_INFINITY,
      this.#grace(),
    );
    if (this.#signal !== undefined) {
      this.#shortestGrace = milliseconds(grace);
    }
    const margin = Math.max(
      MIN_EXIT_MARGIN,
      Math.min(EXIT_MARGIN, grace * EXIT_MARGIN_SHARE),
    );
    return milliseconds(Math.max(0, grace - margin));
  }
}
