/** Token bucket that starts empty, so that a new owner of a limit adds no burst to that of the previous one. */
import { elapsed, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Tokens that are saved while nobody takes them, and the time for which more are saved. */
export const SAVED_TOKENS = 2;
export const SAVED_SECONDS = 0.5;
const MS_PER_SECOND = 1000;

export class TokenBucket {
  #tokens = 0;
  #perSecond: number;
  #filledAt: Instant;

  constructor(perSecond: number, now: Instant) {
    this.#perSecond = perSecond;
    this.#filledAt = now;
  }

  get perSecond(): number {
    return this.#perSecond;
  }

  /** Adds the tokens since the last call, and changes the rate from now on. */
  refill(perSecond: number, now: Instant): void {
    const added =
      (this.#perSecond * Math.max(0, elapsed(this.#filledAt, now))) /
      MS_PER_SECOND;
    this.#perSecond = perSecond;
    this.#filledAt = now;
    const capacity = SAVED_TOKENS + perSecond * SAVED_SECONDS;
    this.#tokens = Math.min(capacity, this.#tokens + added);
  }

  /** Takes a token; returns false if there is none. */
  take(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }

  /** Time from the last refill until the bucket has that many tokens. */
  timeUntil(tokens: number): Milliseconds {
    const missing = Math.max(0, tokens - this.#tokens);
    return milliseconds((missing / this.#perSecond) * MS_PER_SECOND);
  }
}
