/** A token bucket that holds up to one second's worth. */
import { elapsed } from '@sesamegrade/core/types/units';
import type { Instant } from '@sesamegrade/core/types/units';

const MS_PER_SECOND = 1000;

export class TokenBucket {
  #perSecond: number;
  #tokens: number;
  #filledAt: Instant;

  /** @param perSecond operations per second; infinity for no limit */
  constructor(perSecond: number, now: Instant) {
    this.#perSecond = perSecond;
    this.#tokens = perSecond;
    this.#filledAt = now;
  }

  setRate(perSecond: number): void {
    this.#perSecond = perSecond;
    this.#tokens = Math.min(this.#tokens, perSecond);
  }

  /** Takes a number of operations; a large one leaves a debt behind. */
  take(count: number, now: Instant): boolean {
    if (this.#perSecond === Infinity) {
      return true;
    }
    const filled =
      (elapsed(this.#filledAt, now) * this.#perSecond) / MS_PER_SECOND;
    this.#filledAt = now;
    const held = Number.isFinite(this.#tokens) ? this.#tokens : this.#perSecond;
    this.#tokens = Math.min(this.#perSecond, held + filled);
    if (this.#tokens < Math.min(1, this.#perSecond)) {
      return false;
    }
    this.#tokens -= count;
    return true;
  }
}
