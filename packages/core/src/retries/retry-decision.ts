/** Decides whether a failed attempt is followed by another one. */
import type { Outcome } from '../types/outcome';
import { milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import type { Backoff } from './backoff';
import type { Deadline } from './deadline';
import type { RetryBudget } from './retry-budget';

/** What is known about a request whose last attempt failed. */
export interface FailedAttempt {
  /** What the request's state allows to say about the failed attempt. */
  readonly outcome: Outcome;
  /** True when running the call twice has the same effect as running it once. */
  readonly idempotent: boolean;
  /** Attempts made so far, at least 1. */
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
 * Allows a retry only while the call provably was not run or is idempotent, and
 * takes it from the budget. A call that ran to its end is never retried.
 */
export function decideRetry(
  failed: FailedAttempt,
  policy: RetryPolicy,
  now: Instant,
): RetryDecision {
  const { outcome, idempotent, attempts, deadline } = failed;
  const repeatable =
    outcome === 'not_run' || (outcome === 'unknown' && idempotent);
  if (!repeatable) {
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
