/** Weighted max-min fair shares over the whole fleet, computed from gossiped demand. */
import type { TeamId } from '../types/ids';
import { elapsed, milliseconds } from '../types/units';
import type { Instant } from '../types/units';
import type { DemandTable } from './demand-table';
import { FleetShares } from './fleet-shares';
import type { TeamShare } from './fleet-shares';
import { maxMinShares } from './max-min-shares';
import type { PoolId } from './pool';
import type { TeamPolicy } from './team-policy';

/** Minimum time between two computations of the shares. */
const REFRESH_PERIOD = milliseconds(250);
/** Lower bound of the fraction of a team's traffic that a router attributes to itself. */
const MIN_TRAFFIC_FRACTION = 0.002;

export class GossipedShares extends FleetShares {
  readonly #pool: PoolId;
  readonly #table: DemandTable;
  readonly #policy: TeamPolicy;
  #slots = 0;
  #totals = new Map<TeamId, number>();
  #shares = new Map<TeamId, number>();
  #computedAt: Instant | undefined;

  constructor(pool: PoolId, table: DemandTable, policy: TeamPolicy) {
    super();
    this.#pool = pool;
    this.#table = table;
    this.#policy = policy;
  }

  override onCapacityChanged(slots: number): void {
    if (slots !== this.#slots) {
      this.#slots = slots;
      this.#computedAt = undefined;
    }
  }

  override teamShare(team: TeamId, now: Instant): TeamShare {
    this.#recompute(now);
    const own = this.#table.meter(this.#pool).demand(team, now);
    const total = this.#totals.get(team) ?? own;
    const share = this.#shares.get(team) ?? total;
    return {
      trafficFraction:
        total > 0 ? clampFraction(own / total, MIN_TRAFFIC_FRACTION) : 1,
      admitFraction: total > 0 ? clampFraction(share / total, 0) : 1,
    };
  }

  #recompute(now: Instant): void {
    const isCurrent =
      this.#computedAt !== undefined &&
      elapsed(this.#computedAt, now) < REFRESH_PERIOD;
    if (isCurrent) {
      return;
    }
    this.#computedAt = now;
    this.#totals = this.#table.totals(this.#pool, now);
    const demands = [...this.#totals].map(([team, demand]) => ({
      team,
      demand,
      weight: this.#policy.limits(team).weight,
    }));
    this.#shares = maxMinShares(this.#slots, demands);
  }
}

function clampFraction(fraction: number, min: number): number {
  return Math.min(1, Math.max(min, fraction));
}
