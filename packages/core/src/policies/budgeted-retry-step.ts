/** Retry step of the request flow: attempts are limited, and repeated runs are charged to a retry budget. */
import type { Backoff } from '../retries/backoff';
import { Deadline } from '../retries/deadline';
import type { RetryBudget } from '../retries/retry-budget';
import { mayRetry } from '../retries/retry-decision';
import { RetryStep } from '../requests/steps';
import type { FailedRequest, RetryAnswer } from '../requests/steps';
import { milliseconds } from '../types/units';
import type { Instant } from '../types/units';

export interface BudgetedRetryStepOptions {
  readonly budget: RetryBudget;
  readonly backoff: Backoff;
  readonly maxAttempts: number;
  /** Maximum number of times that one stream is resumed. */
  readonly maxResumptions: number;
}

const RETRY_AT_ONCE: RetryAnswer = { kind: 'retry', after: milliseconds(0) };
const GIVE_UP: RetryAnswer = { kind: 'give-up' };

export class BudgetedRetryStep extends RetryStep {
  readonly #options: BudgetedRetryStepOptions;

  constructor(options: BudgetedRetryStepOptions) {
    super();
    this.#options = options;
  }

  override requestArrived(now: Instant): void {
    this.#options.budget.requestStarted(now);
  }

  /**
   * A request that no endpoint has run costs the endpoints nothing, so it is
   * retried at once. One that may have run is retried only within the budget.
   */
  override mayRetry(failed: FailedRequest, now: Instant): RetryAnswer {
    const { outcome, repeatable, attempts } = failed;
    if (outcome === 'not_run') {
      return attempts < this.#options.maxAttempts ? RETRY_AT_ONCE : GIVE_UP;
    }
    const decision = mayRetry(
      {
        outcome,
        idempotent: repeatable,
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

  override mayResume(resumptions: number): RetryAnswer {
    if (resumptions >= this.#options.maxResumptions) {
      return GIVE_UP;
    }
    const after = milliseconds(this.#options.backoff.delay(resumptions));
    return { kind: 'retry', after };
  }
}
