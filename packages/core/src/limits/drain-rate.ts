/** Estimates the rate at which queued requests get slots. */
import { elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Time constant of the exponentially decayed count. */
const TIME_CONSTANT = seconds(5);

export class DrainRate {
  readonly #minRate: number;
  #count = 0;
  #at: Instant | undefined;

  /**
   * `minRate`, in requests per millisecond, is the lower bound of the estimate
   * while few requests were seen.
   */
  constructor(minRate: number) {
    this.#minRate = minRate;
  }

  /** Records one request that got a slot. */
  recordStart(now: Instant): void {
    this.#count = this.#decayedCount(now) + 1;
    this.#at = now;
  }

  /** Expected time until the given number of requests have got their slots. */
  expectedWait(requests: number, now: Instant): Milliseconds {
    const rate = Math.max(
      this.#decayedCount(now) / TIME_CONSTANT,
      this.#minRate,
    );
    return milliseconds(requests / rate);
  }

  #decayedCount(now: Instant): number {
    if (this.#at === undefined) {
      return 0;
    }
    const age = Math.max(0, elapsed(this.#at, now));
    return this.#count * Math.exp(-age / TIME_CONSTANT);
  }
}
