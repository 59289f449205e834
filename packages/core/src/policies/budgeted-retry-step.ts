/**
 * Retry step of the request flow: attempts are limited, and repeated runs are
 * charged to a retry budget.
 */
import type { Backoff } from '../retries/backoff';
import { Deadline } from '../retries/deadline';
import type { RetryBudget } from '../retries/retry-budget';
import { decideRetry } from '../retries/retry-decision';
import { RetryStep } from '../requests/steps';
import type { FailedRequest, RetryResult } from '../requests/steps';
import { milliseconds } from '../types/units';
import type { Instant } from '../types/units';

export interface BudgetedRetryStepOptions {
  readonly budget: RetryBudget;
  readonly backoff: Backoff;
  readonly maxAttempts: number;
  /** Maximum number of times that one stream is resumed. */
  readonly maxResumptions: number;
}

const RETRY_AT_ONCE: RetryResult = { kind: 'retry', after: milliseconds(0) };
const GIVE_UP: RetryResult = { kind: 'give-up' };

export class BudgetedRetryStep extends RetryStep {
  readonly #options: BudgetedRetryStepOptions;

  constructor(options: BudgetedRetryStepOptions) {
    super();
    this.#options = options;
  }

  override onRequestArrived(now: Instant): void {
    this.#options.budget.onRequestStarted(now);
  }

  /**
   * A request that no endpoint has run costs the endpoints nothing, so it is
   * retried at once. One that may have run is retried only within the budget.
   */
  override decideRetry(failed: FailedRequest, now: Instant): RetryResult {
    const { outcome, repeatable, attempts } = failed;
    if (outcome === 'not_run') {
      return attempts < this.#options.maxAttempts ? RETRY_AT_ONCE : GIVE_UP;
    }
    const decision = decideRetry(
      {
        outcome,
        repeatable,
        attempts,
        deadline: new Deadline(failed.deadline),
      },
      this.#options,
      now,
    );
    return decision.kind === 'retry'
      ? { kind: 'retry', after: decision.delay }
      : GIVE_UP;
  }

  override decideResume(resumptions: number): RetryResult {
    if (resumptions >= this.#options.maxResumptions) {
      return GIVE_UP;
    }
    const after = milliseconds(this.#options.backoff.delay(resumptions));
    return { kind: 'retry', after };
  }
}
