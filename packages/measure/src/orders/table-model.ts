/** Models the write limit and the delay of the store's table service. */
import type { Random } from '@sesamegrade/core/random/random';
import type { EventQueue } from '../placement/event-queue';

/** Rows that the service writes per second for the whole fleet. */
export const WRITES_PER_SECOND = 300;

const MIN_DELAY_MS = 2;
const MEAN_EXTRA_DELAY_MS = 3;

/**
 * Performs writes in order of arrival, each as soon as the limit allows all of its
 * rows. The real service refuses writes over its limit instead, which costs more.
 */
export class TableModel {
  readonly #queue: EventQueue;
  readonly #random: Random;
  /** Time from which the limit allows another row. */
  #freeAt = 0;
  #rows = 0;

  constructor(queue: EventQueue, random: Random) {
    this.#queue = queue;
    this.#random = random;
  }

  get rows(): number {
    return this.#rows;
  }

  write(now: number, rows: number, done: (at: number) => void): void {
    this.#rows += rows;
    this.#freeAt =
      Math.max(now, this.#freeAt) + (rows * 1000) / WRITES_PER_SECOND;
    const delay = MIN_DELAY_MS + this.#random.exponential(MEAN_EXTRA_DELAY_MS);
    const at = this.#freeAt + delay;
    this.#queue.add(at, () => {
      done(at);
    });
  }
}
