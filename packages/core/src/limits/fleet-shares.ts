/** A team's standing in the whole fleet, as one router can tell it. */
import type { TeamId } from '../types/ids';
import type { Instant } from '../types/units';
import type { DemandMeter } from './demand-meter';
import type { TeamPolicy } from './team-policy';

export interface TeamShare {
  /** Part of the team's fleet-wide traffic that this router sees, in (0, 1]. */
  readonly trafficFraction: number;
  /**
   * Part of the team's requests that its share lets through while demand
   * exceeds the pool's slots; 1 when the team is within its share.
   */
  readonly admitFraction: number;
}

/** Tells the standing of teams in one pool. */
export abstract class FleetShares {
  abstract teamShare(team: TeamId, now: Instant): TeamShare;

  /** Tells how many slots the pool has in the whole fleet. */
  abstract onCapacityChanged(slots: number): void;
}

/** Gives each router an equal part of the pool and each team its weight of it. */
export class StaticShares extends FleetShares {
  readonly #meter: DemandMeter;
  readonly #policy: TeamPolicy;
  readonly #routers: () => number;
  #slots = 0;

  constructor(meter: DemandMeter, policy: TeamPolicy, routers: () => number) {
    super();
    this.#meter = meter;
    this.#policy = policy;
    this.#routers = routers;
  }

  override onCapacityChanged(slots: number): void {
    this.#slots = slots;
  }

  override teamShare(team: TeamId, now: Instant): TeamShare {
    const portion = 1 / Math.max(1, this.#routers());
    const { weight } = this.#policy.limits(team);
    const share = (this.#slots * portion * weight) / this.#policy.totalWeight();
    const demand = this.#meter.demand(team, now);
    return {
      trafficFraction: portion,
      admitFraction: demand > share ? share / demand : 1,
    };
  }
}
