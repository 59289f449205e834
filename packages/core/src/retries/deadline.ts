/** Deadline of a request, set by its caller. */
import { elapsed, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Time after which a response is of no use to the caller. */
export class Deadline {
  readonly at: Instant;

  constructor(at: Instant) {
    this.at = at;
  }

  /** Remaining time; zero once the deadline has passed. */
  remaining(now: Instant): Milliseconds {
    const remaining = elapsed(now, this.at);
    return remaining > 0 ? remaining : milliseconds(0);
  }

  hasPassed(now: Instant): boolean {
    return this.remaining(now) <= 0;
  }

  /** Whether work of the given duration can end before the deadline. */
  allows(duration: Milliseconds, now: Instant): boolean {
    return this.remaining(now) > duration;
  }
}
