/** Token bucket with a capacity of one second's operations. */
import { elapsed } from '@sesamegrade/core/types/units';
import type { Instant } from '@sesamegrade/core/types/units';

const MS_PER_SECOND = 1000;

export class TokenBucket {
  #ratePerSecond: number;
  #tokens: number;
  #refilledAt: Instant;

  /** @param ratePerSecond operations per second; `Infinity` for no limit */
  constructor(ratePerSecond: number, now: Instant) {
    this.#ratePerSecond = ratePerSecond;
    this.#tokens = ratePerSecond;
    this.#refilledAt = now;
  }

  setRate(ratePerSecond: number): void {
    this.#ratePerSecond = ratePerSecond;
    this.#tokens = Math.min(this.#tokens, ratePerSecond);
  }

  /**
   * Takes tokens for a number of operations; returns false if the bucket is empty.
   * More operations than tokens leave a negative number, which delays later ones.
   */
  take(count: number, now: Instant): boolean {
    if (this.#ratePerSecond === Infinity) {
      return true;
    }
    const refill =
      (elapsed(this.#refilledAt, now) * this.#ratePerSecond) / MS_PER_SECOND;
    this.#refilledAt = now;
    const available = Number.isFinite(this.#tokens)
      ? this.#tokens
      : this.#ratePerSecond;
    this.#tokens = Math.min(this.#ratePerSecond, available + refill);
    if (this.#tokens < Math.min(1, this.#ratePerSecond)) {
      return false;
    }
    this.#tokens -= count;
    return true;
  }
}
