/** Spreads refused callers over time, so that they don't come back together. */
import type { Random } from '../random/random';
import { milliseconds, seconds } from '../types/units';
import type { Milliseconds } from '../types/units';

const least = seconds(1);
const most = seconds(30);

export class RetryAfter {
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  /**
   * Returns a delay of one to two times the wait, and longer for a team that
   * is over its share: the part that is let through is the part that should
   * come back within the wait.
   */
  delay(wait: Milliseconds, admitFraction: number): Milliseconds {
    const stretched = wait / Math.max(admitFraction, least / most);
    const bounded = Math.min(Math.max(least, stretched), most);
    return milliseconds(Math.round(bounded * (1 + this.#random.fraction())));
  }
}
