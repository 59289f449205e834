/** Max-min shares over the whole fleet from demand that routers tell each other. */
import type { TeamId } from '../types/ids';
import { elapsed, milliseconds } from '../types/units';
import type { Instant } from '../types/units';
import type { DemandTable } from './demand-table';
import { FleetShares } from './fleet-shares';
import type { TeamShare } from './fleet-shares';
import { maxMinShares } from './max-min-shares';
import type { PoolId } from './pool';
import type { TeamPolicy } from './team-policy';

/** Shares are worked out again at most this often. */
const refresh = milliseconds(250);
/** Smallest part of a team's traffic that a router counts itself for. */
const leastPortion = 0.002;

export class GossipedShares extends FleetShares {
  readonly #pool: PoolId;
  readonly #table: DemandTable;
  readonly #policy: TeamPolicy;
  #slots = 0;
  #totals = new Map<TeamId, number>();
  #shares = new Map<TeamId, number>();
  #workedOutAt: Instant | undefined;

  constructor(pool: PoolId, table: DemandTable, policy: TeamPolicy) {
    super();
    this.#pool = pool;
    this.#table = table;
    this.#policy = policy;
  }

  override onCapacityChanged(slots: number): void {
    if (slots !== this.#slots) {
      this.#slots = slots;
      this.#workedOutAt = undefined;
    }
  }

  override teamShare(team: TeamId, now: Instant): TeamShare {
    this.#workOut(now);
    const own = this.#table.meter(this.#pool).demand(team, now);
    const total = this.#totals.get(team) ?? own;
    const share = this.#shares.get(team) ?? total;
    return {
      trafficFraction: total > 0 ? bounded(own / total, leastPortion) : 1,
      admitFraction: total > 0 ? bounded(share / total, 0) : 1,
    };
  }

  #workOut(now: Instant): void {
    const fresh =
      this.#workedOutAt !== undefined &&
      elapsed(this.#workedOutAt, now) < refresh;
    if (fresh) {
      return;
    }
    this.#workedOutAt = now;
    this.#totals = this.#table.totals(this.#pool, now);
    const demands = [...this.#totals].map(([team, demand]) => ({
      team,
      demand,
      weight: this.#policy.limits(team).weight,
    }));
    this.#shares = maxMinShares(this.#slots, demands);
  }
}

function bounded(fraction: number, least: number): number {
  return Math.min(1, Math.max(least, fraction));
}
