/** Counts requests that reach an endpoint above the limit on uneven load, in sliding windows. */
import { elapsed, seconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';

const WINDOW: Milliseconds = seconds(5);
/** Multiple of the mean load of a service above which an endpoint may not be, and requests beyond it. */
const LIMIT_FACTOR = 2;
const LIMIT_SLACK = 3;
/** Requests above the limit that a window may have, as a number and as a share of its requests. */
const TOLERATED = 20;
const TOLERATED_SHARE = 0.03;

export interface WorstWindow {
  /** Requests that reached an endpoint above the limit. */
  readonly above: number;
  readonly requests: number;
}

export class LimitWatch {
  readonly #arrivals: { readonly at: Instant; readonly isAbove: boolean }[] =
    [];
  #above = 0;
  #worst: WorstWindow = { above: 0, requests: 0 };
  #broken = 0;

  /** The window with the most requests above the limit. */
  get worst(): WorstWindow {
    return this.#worst;
  }

  /** Arrivals that ended a window with more above the limit than it tolerates. */
  get brokenWindows(): number {
    return this.#broken;
  }

  /** Records that a request reaches an endpoint with a load, while its service has a mean load. */
  arrive(load: number, mean: number, now: Instant): void {
    const isAbove = load > LIMIT_FACTOR * mean + LIMIT_SLACK;
    this.#arrivals.push({ at: now, isAbove });
    this.#above += Number(isAbove);
    for (
      let [first] = this.#arrivals;
      first && elapsed(first.at, now) >= WINDOW;
      [first] = this.#arrivals
    ) {
      this.#above -= Number(first.isAbove);
      this.#arrivals.shift();
    }
    const requests = this.#arrivals.length;
    if (this.#above > this.#worst.above) {
      this.#worst = { above: this.#above, requests };
    }
    if (this.#above >= TOLERATED && this.#above > TOLERATED_SHARE * requests) {
      this.#broken += 1;
    }
  }
}
