/** Exponential backoff with full jitter. */
import type { Random } from '../random/random';
import { milliseconds } from '../types/units';
import type { Milliseconds } from '../types/units';

export interface BackoffOptions {
  /** Upper bound of the delay before the first retry. */
  readonly base: Milliseconds;
  /** Upper bound of every delay. */
  readonly cap: Milliseconds;
}

export const DEFAULT_BACKOFF: BackoffOptions = {
  base: milliseconds(50),
  cap: milliseconds(2000),
};

const MAX_DOUBLINGS = 30;

export class Backoff {
  readonly #random: Random;
  readonly #options: BackoffOptions;

  constructor(random: Random, options: BackoffOptions = DEFAULT_BACKOFF) {
    this.#random = random;
    this.#options = options;
  }

  /** Returns a random delay before a retry; `retry` counts from 0. */
  delay(retry: number): Milliseconds {
    const doublings = Math.min(Math.max(0, Math.floor(retry)), MAX_DOUBLINGS);
    const { base, cap } = this.#options;
    const ceiling = Math.min(cap, base * 2 ** doublings);
    return milliseconds(this.#random.fraction() * ceiling);
  }
}
