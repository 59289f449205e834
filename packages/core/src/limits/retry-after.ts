/**
 * Computes randomized Retry-After delays, so that refused callers do not retry
 * in synchronized bursts.
 */
import type { Random } from '../random/random';
import { milliseconds, seconds } from '../types/units';
import type { Milliseconds } from '../types/units';

const MIN_DELAY = seconds(1);
const MAX_DELAY = seconds(30);

export class RetryAfter {
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  /**
   * Returns a random delay between one and two times the wait. For a team over
   * its share the wait is divided by the admitted fraction, so that only about
   * that fraction of its requests returns within the original wait.
   */
  delay(wait: Milliseconds, admitFraction: number): Milliseconds {
    const stretched = wait / Math.max(admitFraction, MIN_DELAY / MAX_DELAY);
    const clamped = Math.min(Math.max(MIN_DELAY, stretched), MAX_DELAY);
    return milliseconds(Math.round(clamped * (1 + this.#random.fraction())));
  }
}
