/** Weighted max-min fair division of a capacity. */
import type { TeamId } from '../types/ids';

export interface WeightedDemand {
  readonly team: TeamId;
  readonly demand: number;
  readonly weight: number;
}

/**
 * Gives each team the lesser of its demand and its weight times a level that
 * is the same for all; the level uses the capacity up. Unsatisfied teams thus
 * get shares in proportion to their weights.
 */
export function maxMinShares(
  capacity: number,
  demands: readonly WeightedDemand[],
): Map<TeamId, number> {
  const usable = demands.filter(
    entry => entry.demand > 0 && entry.weight > 0 && entry.weight < Infinity,
  );
  usable.sort((a, b) => a.demand / a.weight - b.demand / b.weight);
  let left = capacity > 0 ? capacity : 0;
  let weights = usable.reduce((sum, entry) => sum + entry.weight, 0);
  const shares = new Map<TeamId, number>();
  for (const { team, demand, weight } of usable) {
    const share = Math.min(demand, (left * weight) / weights);
    shares.set(team, share);
    left = Math.max(0, left - share);
    weights -= weight;
  }
  return shares;
}
