/** Estimates how fast waiting requests get slots. */
import { elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Time constant of the estimate. */
const memory = seconds(5);

export class DrainRate {
  readonly #leastRate: number;
  #count = 0;
  #at: Instant | undefined;

  /** `leastRate` in requests per millisecond is assumed when little is known. */
  constructor(leastRate: number) {
    this.#leastRate = leastRate;
  }

  /** Notes one request that got a slot. */
  recordStart(now: Instant): void {
    this.#count = this.#decayed(now) + 1;
    this.#at = now;
  }

  /** Expected time until the given number of requests got their slots. */
  expectedWait(requests: number, now: Instant): Milliseconds {
    const rate = Math.max(this.#decayed(now) / memory, this.#leastRate);
    return milliseconds(requests / rate);
  }

  #decayed(now: Instant): number {
    if (this.#at === undefined) {
      return 0;
    }
    const age = Math.max(0, elapsed(this.#at, now));
    return this.#count * Math.exp(-age / memory);
  }
}
