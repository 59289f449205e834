/** Exponential back-off with full jitter. */
import type { Random } from '../random/random';
import { milliseconds } from '../types/units';
import type { Milliseconds } from '../types/units';

export interface BackoffOptions {
  /** Upper end of the first delay. */
  readonly base: Milliseconds;
  /** Upper end of every delay. */
  readonly cap: Milliseconds;
}

export const DEFAULT_BACKOFF: BackoffOptions = {
  base: milliseconds(50),
  cap: milliseconds(2000),
};

const maxDoublings = 30;

export class Backoff {
  readonly #random: Random;
  readonly #options: BackoffOptions;

  constructor(random: Random, options: BackoffOptions = DEFAULT_BACKOFF) {
    this.#random = random;
    this.#options = options;
  }

  /** Returns the delay before a retry; `retry` is 0 for the first one. */
  delay(retry: number): Milliseconds {
    const doublings = Math.min(Math.max(0, Math.floor(retry)), maxDoublings);
    const { base, cap } = this.#options;
    const ceiling = Math.min(cap, base * 2 ** doublings);
    return milliseconds(this.#random.fraction() * ceiling);
  }
}
