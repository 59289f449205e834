/** A count over the last seconds, to be read back at the time of a late report. */
import type { Instant, Milliseconds } from '../types/units';

interface Change {
  readonly at: Instant;
  value: number;
}

/** Changes beyond this number are merged into the newest one. */
const maxChanges = 512;

/** Old changes are removed when at least this many are to go. */
const trimBatch = 32;

export class CountHistory {
  readonly #changes: Change[] = [];
  readonly #span: Milliseconds;
  #value = 0;
  /** Value before the oldest change that is kept. */
  #before = 0;

  constructor(span: Milliseconds) {
    this.#span = span;
  }

  get value(): number {
    return this.#value;
  }

  /** Adds to the count for all of the time that is kept. */
  shift(by: number): void {
    this.#value += by;
    this.#before += by;
    for (const change of this.#changes) {
      change.value += by;
    }
  }

  /** Adds to the count at a time that is not before the last change. */
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

  /** Returns the count as it was known at a time. */
  valueAt(at: Instant): number {
    for (let index = this.#changes.length - 1; index >= 0; index -= 1) {
      const change = this.#changes[index];
      if (change && change.at <= at) {
        return change.value;
      }
    }
    return this.#before;
  }

  #trim(now: Instant): void {
    let dropped = 0;
    for (const change of this.#changes) {
      const tooMany = this.#changes.length - dropped > maxChanges;
      if (!tooMany && change.at >= now - this.#span) {
        break;
      }
      dropped += 1;
    }
    // Removal is batched, as it moves the whole array.
    if (dropped >= trimBatch) {
      const [last] = this.#changes.splice(0, dropped).slice(-1);
      this.#before = last?.value ?? this.#before;
    }
  }
}
