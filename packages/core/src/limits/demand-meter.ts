/** Measures how many slots each team would hold if nothing were refused. */
import type { TeamId } from '../types/ids';
import { elapsed, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Time constant of the arrival rates. */
const rateMemory = seconds(10);
/** Holding time assumed before any request has finished. */
const assumedHolding = seconds(4);
/** Weight of one finished request in the mean holding time. */
const holdingGain = 0.05;
const maxHolding = seconds(600);
/** Below this many slots a team is forgotten. */
const forgottenDemand = 0.01;

interface Arrivals {
  /** Exponentially decayed number of arrivals as of `at`. */
  count: number;
  at: Instant;
}

/** Demand of each team at one router for one pool: arrival rate times holding time. */
export class DemandMeter {
  readonly #arrivals = new Map<TeamId, Arrivals>();
  #holding: number = assumedHolding;

  /** Notes a request, whether it is admitted or not. */
  recordArrival(team: TeamId, now: Instant): void {
    const count = this.#count(team, now) + 1;
    this.#arrivals.set(team, { count, at: now });
  }

  /** Notes for how long a finished request held its slot. */
  recordHoldingTime(length: Milliseconds): void {
    if (length >= 0) {
      const bounded = Math.min(length, maxHolding);
      this.#holding += (bounded - this.#holding) * holdingGain;
    }
  }

  /** Slots that the team's traffic at this router needs. */
  demand(team: TeamId, now: Instant): number {
    return (this.#count(team, now) * this.#holding) / rateMemory;
  }

  /** Every team with a demand; drops those whose demand has faded. */
  demands(now: Instant): Map<TeamId, number> {
    const demands = new Map<TeamId, number>();
    for (const team of this.#arrivals.keys()) {
      const demand = this.demand(team, now);
      if (demand < forgottenDemand) {
        this.#arrivals.delete(team);
      } else {
        demands.set(team, demand);
      }
    }
    return demands;
  }

  #count(team: TeamId, now: Instant): number {
    const arrivals = this.#arrivals.get(team);
    if (!arrivals) {
      return 0;
    }
    const age = Math.max(0, elapsed(arrivals.at, now));
    return arrivals.count * Math.exp(-age / rateMemory);
  }
}
