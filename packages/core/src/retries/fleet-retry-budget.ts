/** This router's part of the retries that the whole fleet may send to each service. */
import type { ServiceId } from '../types/ids';
import type { Instant, Milliseconds } from '../types/units';
import { RetryBudget } from './retry-budget';
import type { RetryBudgetOptions } from './retry-budget';

/** Limits of the deployment, over all routers together. */
export interface FleetRetryLimits {
  /** Retries allowed per request in the window. */
  readonly ratio: number;
  /** Retries allowed per window regardless of the traffic. */
  readonly slack: number;
  readonly window: Milliseconds;
}

export interface FleetRetryBudgetOptions {
  /** Returns the current limits, which may change. */
  readonly limits: () => FleetRetryLimits;
  /** Returns the number of routers that share the slack. */
  readonly routers: () => number;
}

/**
 * Fraction of the fleet's budget that routers use; the remainder allows for
 * windows that are not aligned.
 */
const USABLE_FRACTION = 0.8;

export class FleetRetryBudget {
  readonly #options: FleetRetryBudgetOptions;
  readonly #budgets = new Map<ServiceId, RetryBudget>();

  constructor(options: FleetRetryBudgetOptions) {
    this.#options = options;
  }

  /** Counts the first attempt of a request. */
  onRequestStarted(service: ServiceId, now: Instant): void {
    this.#budget(service).onRequestStarted(now);
  }

  /** Requests per millisecond that this router receives for a service. */
  requestRate(service: ServiceId, now: Instant): number {
    return this.#budget(service).requests(now) / this.#options.limits().window;
  }

  /** Takes one retry from the budget; returns false when none is available. */
  take(service: ServiceId, now: Instant): boolean {
    return this.#budget(service).take(now);
  }

  #budget(service: ServiceId): RetryBudget {
    let budget = this.#budgets.get(service);
    if (!budget) {
      budget = new RetryBudget(() => this.#routerOptions());
      this.#budgets.set(service, budget);
    }
    return budget;
  }

  #routerOptions(): RetryBudgetOptions {
    const { limits, routers } = this.#options;
    const { ratio, slack, window } = limits();
    return {
      fraction: ratio * USABLE_FRACTION,
      floor: (slack * USABLE_FRACTION) / Math.max(1, routers()),
      window,
    };
  }
}
