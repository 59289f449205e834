/**
 * Limits retries to a fraction of the traffic, so that a brown-out does not
 * turn into a retry storm.
 */
import { seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

export interface RetryBudgetOptions {
  /** Retries allowed per request in the window. */
  readonly fraction: number;
  /** Retries allowed per window regardless of the traffic. */
  readonly floor: number;
  readonly window: Milliseconds;
}

export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = {
  fraction: 0.08,
  floor: 1,
  window: seconds(60),
};

const SLICE_COUNT = 10;

interface Slice {
  index: number;
  requests: number;
  retries: number;
}

/** Counts first attempts and retries over a sliding window. */
export class RetryBudget {
  readonly #options: () => RetryBudgetOptions;
  readonly #slices: Slice[] = [];

  /** Takes the options, or a function that returns the current ones. */
  constructor(
    options:
      RetryBudgetOptions | (() => RetryBudgetOptions) = DEFAULT_RETRY_BUDGET,
  ) {
    this.#options = typeof options === 'function' ? options : () => options;
  }

  /** Counts the first attempt of a request. */
  onRequestStarted(now: Instant): void {
    this.#current(now).requests += 1;
  }

  /** Number of first attempts in the window. */
  requests(now: Instant): number {
    this.#current(now);
    return this.#slices.reduce((sum, { requests }) => sum + requests, 0);
  }

  /** Returns how many more retries the window allows, rounded down. */
  available(now: Instant): number {
    this.#current(now);
    const { fraction, floor } = this.#options();
    let requests = 0;
    let retries = 0;
    for (const slice of this.#slices) {
      requests += slice.requests;
      retries += slice.retries;
    }
    const allowed = floor + fraction * requests - retries;
    return Math.max(0, Math.floor(allowed + Number.EPSILON * requests));
  }

  /** Takes one retry from the budget; returns false when none is available. */
  take(now: Instant): boolean {
    if (this.available(now) < 1) {
      return false;
    }
    this.#current(now).retries += 1;
    return true;
  }

  #current(now: Instant): Slice {
    const width = this.#options().window / SLICE_COUNT;
    const last = this.#slices.at(-1);
    const index = Math.max(Math.floor(now / width), last?.index ?? 0);
    while (this.#slices[0] && this.#slices[0].index <= index - SLICE_COUNT) {
      this.#slices.shift();
    }
    if (last?.index === index) {
      return last;
    }
    const slice: Slice = { index, requests: 0, retries: 0 };
    this.#slices.push(slice);
    return slice;
  }
}
