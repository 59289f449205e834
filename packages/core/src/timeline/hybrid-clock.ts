/**
 * Hybrid logical clock. Its timestamps follow wall time, never go back within a
 * process, and order the receipt of a message after its sending.
 */
import { z } from 'zod';

/** Wall time in Unix milliseconds and a counter that orders events of the same time. */
export type HybridTimestamp = readonly [wall: number, counter: number];

/** Maximum lead of a received timestamp over this clock; others are rejected. */
const MAX_LEAD_MS = 60_000;
const MAX_COUNTER = 2 ** 31;

export const timestampSchema = z.tuple([
  z.int().min(0),
  z.int().min(0).max(MAX_COUNTER),
]);

/** Compares two timestamps; negative if the left one is earlier. */
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
  #rejected = 0;

  /** `wallTime` returns Unix milliseconds and may jump. */
  constructor(wallTime: () => number) {
    this.#wallTime = wallTime;
  }

  /** Number of received timestamps that were rejected as too far ahead. */
  get rejected(): number {
    return this.#rejected;
  }

  /** Returns a timestamp above all that were returned or received before. */
  next(): HybridTimestamp {
    this.#advance(Math.floor(this.#wallTime()), -1);
    return [this.#wall, this.#counter];
  }

  /** Merges the timestamp of a received message, so that later timestamps are above it. */
  receive(timestamp: HybridTimestamp): void {
    if (timestamp[0] > this.#wallTime() + MAX_LEAD_MS) {
      this.#rejected += 1;
      return;
    }
    if (compareTimestamps(timestamp, [this.#wall, this.#counter]) > 0) {
      [this.#wall, this.#counter] = timestamp;
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
