/** This router's part of the repeats that the whole fleet may send to each service. */
import type { ServiceId } from '../types/ids';
import type { Instant, Milliseconds } from '../types/units';
import { RetryBudget } from './retry-budget';
import type { RetryBudgetOptions } from './retry-budget';

/** What the deployment allows, over all routers together. */
export interface FleetRetryLimits {
  /** Repeats allowed per request of the window. */
  readonly ratio: number;
  /** Repeats allowed per window whatever the traffic. */
  readonly slack: number;
  readonly window: Milliseconds;
}

export interface FleetRetryBudgetOptions {
  /** The limits in force, which may change. */
  readonly limits: () => FleetRetryLimits;
  /** Routers that share the slack. */
  readonly routers: () => number;
}

/** Share of the fleet's budget that routers use, as their windows do not line up. */
const USED_SHARE = 0.8;

export class FleetRetryBudget {
  readonly #options: FleetRetryBudgetOptions;
  readonly #budgets = new Map<ServiceId, RetryBudget>();

  constructor(options: FleetRetryBudgetOptions) {
    this.#options = options;
  }

  /** Notes the first attempt of a request. */
  onRequestStarted(service: ServiceId, now: Instant): void {
    this.#budget(service).onRequestStarted(now);
  }

  /** Requests per millisecond that this router takes for a service. */
  requestRate(service: ServiceId, now: Instant): number {
    return this.#budget(service).requests(now) / this.#options.limits().window;
  }

  /** Takes one repeat; false when none is left. */
  take(service: ServiceId, now: Instant): boolean {
    return this.#budget(service).take(now);
  }

  #budget(service: ServiceId): RetryBudget {
    let budget = this.#budgets.get(service);
    if (!budget) {
      budget = new RetryBudget(() => this.#share());
      this.#budgets.set(service, budget);
    }
    return budget;
  }

  #share(): RetryBudgetOptions {
    const { limits, routers } = this.#options;
    const { ratio, slack, window } = limits();
    return {
      fraction: ratio * USED_SHARE,
      floor: (slack * USED_SHARE) / Math.max(1, routers()),
      window,
    };
  }
}
