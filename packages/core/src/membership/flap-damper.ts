/** Makes each return of a flapping member cost more waiting than the one before. */
import { elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

interface Penalty {
  value: number;
  at: Instant;
}

/** Penalty, in returns, from which a member has to wait. */
const HOLD_THRESHOLD = 1.5;
const FIRST_HOLD = seconds(5);
const LONGEST_HOLD = seconds(300);
const HALF_LIFE = seconds(300);
/** Below this a penalty is forgotten. */
const NEGLIGIBLE_PENALTY = 0.05;

export class FlapDamper<Id extends string> {
  readonly #penalties = new Map<Id, Penalty>();

  /** Counts one return and tells how long the member stays without new work. */
  recordReturn(id: Id, now: Instant): Milliseconds {
    const value = this.penalty(id, now) + 1;
    this.#penalties.set(id, { value, at: now });
    if (value < HOLD_THRESHOLD) {
      return milliseconds(0);
    }
    const hold = FIRST_HOLD * 2 ** (value - 2);
    return milliseconds(Math.min(LONGEST_HOLD, hold));
  }

  /** Returns of the recent past, each halved every five minutes. */
  penalty(id: Id, now: Instant): number {
    const penalty = this.#penalties.get(id);
    if (!penalty) {
      return 0;
    }
    const age = Math.max(0, elapsed(penalty.at, now));
    return penalty.value * 0.5 ** (age / HALF_LIFE);
  }

  /** Drops penalties that have decayed. */
  tick(now: Instant): void {
    for (const id of this.#penalties.keys()) {
      if (this.penalty(id, now) < NEGLIGIBLE_PENALTY) {
        this.#penalties.delete(id);
      }
    }
  }
}
