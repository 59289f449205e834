/**
 * Flap damping: each return of a flapping member holds it back longer than the
 * one before.
 */
import { elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

interface Penalty {
  value: number;
  at: Instant;
}

/** Penalty, in returns, from which a member is held back. */
const HOLD_THRESHOLD = 1.5;
const BASE_HOLD = seconds(5);
const MAX_HOLD = seconds(300);
const HALF_LIFE = seconds(300);
/** A penalty below this is dropped. */
const NEGLIGIBLE_PENALTY = 0.05;

export class FlapDamper<Id extends string> {
  readonly #penalties = new Map<Id, Penalty>();

  /**
   * Records one return and returns how long the member gets no new requests.
   */
  recordReturn(id: Id, now: Instant): Milliseconds {
    const value = this.penalty(id, now) + 1;
    this.#penalties.set(id, { value, at: now });
    if (value < HOLD_THRESHOLD) {
      return milliseconds(0);
    }
    const hold = BASE_HOLD * 2 ** (value - 2);
    return milliseconds(Math.min(MAX_HOLD, hold));
  }

  /** Returns the number of recent returns, each halved every five minutes. */
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
