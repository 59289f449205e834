/**
 * Permits that a router gives itself while it reaches no issuer: a part of each
 * limit divided among all routers, in turns that are spread over time. An unused
 * turn is lost, so that the routers' turns never add up.
 */
import type { Random } from '../random/random';
import type { EndpointId } from '../types/ids';
import { elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import type { PermitAnswer, PermitQuery } from './permit-query';

/**
 * Part of a limit that routers without an issuer use together, beside the issuer
 * that may still serve the others.
 */
const RESERVE_SHARE = 0.4;
const MIN_RATE_PER_SECOND = 0.1;
/** Longest time for which a turn can be used. */
const MAX_TURN: Milliseconds = seconds(1);
/** Time without use after which the turns are drawn anew. */
const FORGET_AFTER: Milliseconds = seconds(10);
const MS_PER_SECOND = 1000;

interface Turns {
  readonly startedAt: Instant;
  /** Part of a period that had passed at the start. */
  readonly phase: number;
  lastUsed: number;
  askedAt: Instant;
}

export class ReservePermits {
  readonly #random: Random;
  readonly #routers: () => number;
  readonly #turns = new Map<EndpointId, Turns>();

  /** `routers` returns the number of routers of the fleet. */
  constructor(random: Random, routers: () => number) {
    this.#random = random;
    this.#routers = routers;
  }

  request({ endpoints }: PermitQuery, now: Instant): PermitAnswer {
    let shortest = Number.POSITIVE_INFINITY;
    for (const { id, perSecond, concurrent } of endpoints) {
      // Without a limit of the rate a request is taken to run for a second.
      const rate = perSecond ?? concurrent ?? 0;
      const period =
        (this.#routers() * MS_PER_SECOND) /
        Math.max(MIN_RATE_PER_SECOND, rate * RESERVE_SHARE);
      const turns = this.#turnsOf(id, now);
      const position = turns.phase + elapsed(turns.startedAt, now) / period;
      const turn = Math.floor(position);
      const isOpen = (position - turn) * period < MAX_TURN;
      if (isOpen && turn > turns.lastUsed) {
        turns.lastUsed = turn;
        return { kind: 'granted', endpoint: id };
      }
      shortest = Math.min(shortest, (turn + 1 - position) * period);
    }
    return { kind: 'refused', retryAfter: milliseconds(shortest) };
  }

  #turnsOf(id: EndpointId, now: Instant): Turns {
    const known = this.#turns.get(id);
    if (known && elapsed(known.askedAt, now) <= FORGET_AFTER) {
      known.askedAt = now;
      return known;
    }
    const turns = {
      startedAt: now,
      phase: this.#random.fraction(),
      lastUsed: 0,
      askedAt: now,
    };
    this.#turns.set(id, turns);
    return turns;
  }
}
