/** Decides whether a failed attempt is retried. */
import type { Outcome } from '../types/outcome';
import { milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import type { Backoff } from './backoff';
import type { Deadline } from './deadline';
import type { RetryBudget } from './retry-budget';

/** A failed attempt, with the state of its request that decides on a retry. */
export interface FailedAttempt {
  /** Whether any attempt of the request ran, as far as its state shows. */
  readonly outcome: Outcome;
  /** Whether the call may run more than once, because it is idempotent. */
  readonly repeatable: boolean;
  /** Number of attempts made, at least 1. */
  readonly attempts: number;
  readonly deadline: Deadline;
}

export type RetryDecision =
  | { readonly kind: 'retry'; readonly delay: Milliseconds }
  | {
      readonly kind: 'give-up';
      readonly cause:
        | 'may-have-run'
        | 'attempts-exhausted'
        | 'deadline-exceeded'
        | 'budget-exhausted';
    };

export interface RetryPolicy {
  readonly budget: RetryBudget;
  readonly backoff: Backoff;
  readonly maxAttempts: number;
}

export const DEFAULT_MAX_ATTEMPTS = 3;

/**
 * Allows a retry only if the call provably did not run, or may have run and is
 * repeatable, and takes it from the budget. A call known to have run is never
 * retried.
 */
export function decideRetry(
  failed: FailedAttempt,
  policy: RetryPolicy,
  now: Instant,
): RetryDecision {
  const { outcome, repeatable, attempts, deadline } = failed;
  const isRetryable =
    outcome === 'not_run' || (outcome === 'unknown' && repeatable);
  if (!isRetryable) {
    return { kind: 'give-up', cause: 'may-have-run' };
  }
  if (!(attempts < policy.maxAttempts)) {
    return { kind: 'give-up', cause: 'attempts-exhausted' };
  }
  const delay = milliseconds(policy.backoff.delay(attempts - 1));
  if (!deadline.allows(delay, now)) {
    return { kind: 'give-up', cause: 'deadline-exceeded' };
  }
  if (!policy.budget.take(now)) {
    return { kind: 'give-up', cause: 'budget-exhausted' };
  }
  return { kind: 'retry', delay };
}
