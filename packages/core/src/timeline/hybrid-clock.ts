/**
 * Hybrid logical clock: stamps that follow wall time, never go back in one
 * process, and order a message's receipt after its sending.
 */
import { z } from 'zod';

/** Wall time in Unix milliseconds, then a counter for events of the same time. */
export type HybridTimestamp = readonly [wall: number, counter: number];

/** A stamp further ahead of this clock than this is not believed. */
const MAX_LEAD_MS = 60_000;
const MAX_COUNTER = 2 ** 31;

export const timestampSchema = z.tuple([
  z.int().min(0),
  z.int().min(0).max(MAX_COUNTER),
]);

/** Orders two stamps; negative when the left one is earlier. */
export function compareTimestamps(
  left: HybridTimestamp,
  right: HybridTimestamp,
): number {
  return left[0] - right[0] || left[1] - right[1];
}

export class HybridClock {
  readonly #wallTime: () => number;
  #wall = 0;
  #counter = 0;
  #refused = 0;

  /** Takes a source of Unix milliseconds, which may jump. */
  constructor(wallTime: () => number) {
    this.#wallTime = wallTime;
  }

  /** Stamps from others that were too far ahead to be believed. */
  get rejected(): number {
    return this.#refused;
  }

  /** Returns a stamp above every one given out or taken in before. */
  next(): HybridTimestamp {
    this.#advance(Math.floor(this.#wallTime()), -1);
    return [this.#wall, this.#counter];
  }

  /** Takes in the stamp of a message; later stamps come after it. */
  receive(stamp: HybridTimestamp): void {
    if (stamp[0] > this.#wallTime() + MAX_LEAD_MS) {
      this.#refused += 1;
      return;
    }
    if (compareTimestamps(stamp, [this.#wall, this.#counter]) > 0) {
      [this.#wall, this.#counter] = stamp;
    }
  }

  #advance(wall: number, counter: number): void {
    if (wall > this.#wall) {
      this.#wall = wall;
      this.#counter = counter;
    }
    this.#counter += 1;
    if (this.#counter > MAX_COUNTER) {
      this.#wall += 1;
      this.#counter = 0;
    }
  }
}
