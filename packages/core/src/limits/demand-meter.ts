/** Measures how many slots each team would occupy if no request were refused. */
import type { TeamId } from '../types/ids';
import { elapsed, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Time constant of the exponentially decayed arrival rates. */
const TIME_CONSTANT = seconds(10);
/** Holding time assumed before any request has finished. */
const INITIAL_HOLDING_TIME = seconds(4);
/** Weight of one finished request in the moving average of the holding time. */
const HOLDING_TIME_GAIN = 0.05;
const MAX_HOLDING_TIME = seconds(600);
/** Teams with a demand below this number of slots are dropped. */
const MIN_DEMAND_SLOTS = 0.01;

interface Arrivals {
  /** Exponentially decayed number of arrivals as of `at`. */
  count: number;
  at: Instant;
}

/**
 * Demand of each team at one router for one pool, by Little's law: arrival rate
 * times holding time.
 */
export class DemandMeter {
  readonly #arrivals = new Map<TeamId, Arrivals>();
  #meanHoldingTime: number = INITIAL_HOLDING_TIME;

  /** Records a request, whether it is admitted or refused. */
  recordArrival(team: TeamId, now: Instant): void {
    const count = this.#count(team, now) + 1;
    this.#arrivals.set(team, { count, at: now });
  }

  /** Records for how long a finished request occupied its slot. */
  recordHoldingTime(holdingTime: Milliseconds): void {
    if (holdingTime >= 0) {
      const bounded = Math.min(holdingTime, MAX_HOLDING_TIME);
      this.#meanHoldingTime +=
        (bounded - this.#meanHoldingTime) * HOLDING_TIME_GAIN;
    }
  }

  /** Number of slots that the team's traffic at this router needs. */
  demand(team: TeamId, now: Instant): number {
    return (this.#count(team, now) * this.#meanHoldingTime) / TIME_CONSTANT;
  }

  /** Demand in slots of every active team; drops teams whose demand has decayed. */
  demands(now: Instant): Map<TeamId, number> {
    const demands = new Map<TeamId, number>();
    for (const team of this.#arrivals.keys()) {
      const demand = this.demand(team, now);
      if (demand < MIN_DEMAND_SLOTS) {
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
    return arrivals.count * Math.exp(-age / TIME_CONSTANT);
  }
}
