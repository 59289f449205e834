/** Fair shares of teams in a pool over the whole fleet, as estimated by one router. */
import type { TeamId } from '../types/ids';
import type { Instant } from '../types/units';
import type { DemandMeter } from './demand-meter';
import type { TeamPolicy } from './team-policy';

export interface TeamShare {
  /** Fraction of the team's fleet-wide traffic that this router receives, in (0, 1]. */
  readonly trafficFraction: number;
  /**
   * Fraction of the team's requests that its share allows while demand exceeds
   * the pool's slots; 1 when the team is within its share.
   */
  readonly admitFraction: number;
}

/** Computes the shares of teams in one pool. */
export abstract class FleetShares {
  abstract teamShare(team: TeamId, now: Instant): TeamShare;

  /** Sets the number of slots that the pool has in the whole fleet. */
  abstract onCapacityChanged(slots: number): void;
}

/** Divides the pool equally between routers, and each router's part between teams by weight. */
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
    const trafficFraction = 1 / Math.max(1, this.#routers());
    const { weight } = this.#policy.limits(team);
    const share =
      (this.#slots * trafficFraction * weight) / this.#policy.totalWeight();
    const demand = this.#meter.demand(team, now);
    return {
      trafficFraction,
      admitFraction: demand > share ? share / demand : 1,
    };
  }
}
