/** A counter with its history of the last seconds, to be read at the time of a late report. */
import type { Instant, Milliseconds } from '../types/units';

interface Change {
  readonly at: Instant;
  value: number;
}

/** Changes retained; older ones are merged into the base value. */
const MAX_CHANGES = 512;

/** Minimum number of old changes that are removed at once. */
const TRIM_BATCH_SIZE = 32;

export class CountHistory {
  readonly #changes: Change[] = [];
  readonly #span: Milliseconds;
  #value = 0;
  /** Value before the oldest retained change. */
  #baseValue = 0;

  constructor(span: Milliseconds) {
    this.#span = span;
  }

  get value(): number {
    return this.#value;
  }

  /** Adds to the count now and at all times of the retained history. */
  shift(by: number): void {
    this.#value += by;
    this.#baseValue += by;
    for (const change of this.#changes) {
      change.value += by;
    }
  }

  /** Adds to the count from `now` on, which must not be before the last change. */
  add(by: number, now: Instant): void {
    if (by === 0) {
      return;
    }
    this.#value += by;
    const last = this.#changes.at(-1);
    if (last && last.at >= now) {
      last.value = this.#value;
      return;
    }
    this.#changes.push({ at: now, value: this.#value });
    this.#trim(now);
  }

  /** Returns the count at a time; before the retained history, its base value. */
  valueAt(at: Instant): number {
    for (let index = this.#changes.length - 1; index >= 0; index -= 1) {
      const change = this.#changes[index];
      if (change && change.at <= at) {
        return change.value;
      }
    }
    return this.#baseValue;
  }

  #trim(now: Instant): void {
    let removable = 0;
    for (const change of this.#changes) {
      const tooMany = this.#changes.length - removable > MAX_CHANGES;
      if (!tooMany && change.at >= now - this.#span) {
        break;
      }
      removable += 1;
    }
    // Removal is batched, as each one moves the whole array.
    if (removable >= TRIM_BATCH_SIZE) {
      const [last] = this.#changes.splice(0, removable).slice(-1);
      this.#baseValue = last?.value ?? this.#baseValue;
    }
  }
}
