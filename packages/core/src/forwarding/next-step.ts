/**
 * Decides what follows an attempt: a retry at another endpoint, the endpoint's
 * own response, or a refusal. A refusal may state that the request did not run
 * only if the results of all attempts prove it.
 */
import type { AttemptResult } from './attempt-result';
import type { Milliseconds } from '../types/units';

/**
 * Maximum number of rejected or unconnected attempts after which a request is
 * retried; attempts that may have run are limited separately.
 */
const MAX_NOT_RUN_ATTEMPTS = 4;
/** Fraction of the latency goal that must remain for another attempt to be useful. */
const MIN_TIME_FRACTION = 0.25;

/** An ended attempt, and what its request still allows. */
export interface EndedAttempt {
  readonly result: AttemptResult;
  /** Whether the request may be run more than once. */
  readonly repeatable: boolean;
  /** Number of attempts that may have run, including this one. */
  readonly possibleRuns: number;
  /** Number of attempts that provably did not run, including this one. */
  readonly notRun: number;
  readonly maxAttempts: number;
  /** Number of usable endpoints at which the request has not been attempted. */
  readonly untried: number;
  /** Whether part of a response was passed on to the caller. */
  readonly responseStarted: boolean;
  /** Whether another endpoint can go on after that part: after events it can, within a whole response it cannot. */
  readonly isContinuable: boolean;
  /** Time until the timeout of the caller or of the route; 0 if no attempt may follow. */
  readonly remaining: Milliseconds;
  readonly goal: Milliseconds;
  /** Takes one retry from the budget of the service; returns false when none is available. */
  readonly takeRetry: () => boolean;
}

export type GiveUpReason =
  | 'not-run'
  | 'may-have-run'
  | 'timeout'
  /** The response had started and cannot be completed. */
  | 'cut';

export type NextStep =
  | { readonly kind: 'again' }
  /** The endpoint's complete response is passed on to the caller. */
  | { readonly kind: 'pass-on' }
  | { readonly kind: 'give-up'; readonly reason: GiveUpReason }
  | { readonly kind: 'done' };

/** Lowest HTTP status of a server error. */
const MIN_SERVER_ERROR_STATUS = 500;

export function nextStep(attempt: EndedAttempt): NextStep {
  const { result } = attempt;
  switch (result.kind) {
    case 'delivered':
    case 'superseded':
    case 'caller-left':
      return { kind: 'done' };
    case 'expired':
      return giveUp(attempt.responseStarted ? 'cut' : 'timeout');
    case 'stopping':
      return refuseOrBreakOff(attempt);
    case 'unproven-end':
      // Another run would repeat a request that may be complete.
      return refuseOrBreakOff(attempt);
    case 'answered':
      return result.status >= MIN_SERVER_ERROR_STATUS &&
        attempt.repeatable &&
        mayRetry(attempt)
        ? { kind: 'again' }
        : { kind: 'pass-on' };
    case 'not-connected':
    case 'declined':
      return mayRetryNotRun(attempt)
        ? { kind: 'again' }
        : refuseOrBreakOff(attempt);
    case 'broken':
    case 'silent':
    case 'withdrawn':
      return attempt.repeatable && attempt.isContinuable && mayRetry(attempt)
        ? { kind: 'again' }
        : refuseOrBreakOff(attempt);
  }
}

function giveUp(reason: GiveUpReason): NextStep {
  return { kind: 'give-up', reason };
}

function refuseOrBreakOff(attempt: EndedAttempt): NextStep {
  if (attempt.responseStarted) {
    return giveUp('cut');
  }
  return giveUp(attempt.possibleRuns > 0 ? 'may-have-run' : 'not-run');
}

function hasTime({ remaining, goal }: EndedAttempt): boolean {
  return remaining > goal * MIN_TIME_FRACTION;
}

function mayRetry(attempt: EndedAttempt): boolean {
  return (
    attempt.possibleRuns < attempt.maxAttempts &&
    attempt.untried > 0 &&
    hasTime(attempt) &&
    attempt.takeRetry()
  );
}

/**
 * An attempt without a connection costs no endpoint anything, so that its retry
 * needs no budget.
 */
function mayRetryNotRun(attempt: EndedAttempt): boolean {
  const isRetryable =
    attempt.notRun <= MAX_NOT_RUN_ATTEMPTS &&
    attempt.untried > 0 &&
    hasTime(attempt) &&
    (attempt.possibleRuns === 0 || attempt.repeatable) &&
    (attempt.possibleRuns === 0 || attempt.possibleRuns < attempt.maxAttempts);
  if (!isRetryable) {
    return false;
  }
  return attempt.result.kind === 'not-connected' || attempt.takeRetry();
}
