/** The time by which a caller needs its answer; it travels with the request. */
import { elapsed, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** A point in time after which an answer has no worth to the caller. */
export class Deadline {
  readonly at: Instant;

  constructor(at: Instant) {
    this.at = at;
  }

  /** Time left; zero once it has passed. */
  remaining(now: Instant): Milliseconds {
    const left = elapsed(now, this.at);
    return left > 0 ? left : milliseconds(0);
  }

  hasPassed(now: Instant): boolean {
    return this.remaining(now) <= 0;
  }

  /** Tells whether work of the given length can still end in time. */
  allows(length: Milliseconds, now: Instant): boolean {
    return this.remaining(now) > length;
  }
}
