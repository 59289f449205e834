/** Weighted max-min fair division of a capacity. */
import type { TeamId } from '../types/ids';

export interface WeightedDemand {
  readonly team: TeamId;
  readonly demand: number;
  readonly weight: number;
}

/**
 * Divides the capacity by progressive filling (water-filling): each team gets
 * the smaller of its demand and its weight times a level common to all teams,
 * with the level chosen so that no capacity is left while a demand is
 * unsatisfied. Unsatisfied teams thus get shares in proportion to their weights.
 */
export function maxMinShares(
  capacity: number,
  demands: readonly WeightedDemand[],
): Map<TeamId, number> {
  const usable = demands.filter(
    entry => entry.demand > 0 && entry.weight > 0 && entry.weight < Infinity,
  );
  usable.sort((a, b) => a.demand / a.weight - b.demand / b.weight);
  let remaining = capacity > 0 ? capacity : 0;
  let remainingWeight = usable.reduce((sum, entry) => sum + entry.weight, 0);
  const shares = new Map<TeamId, number>();
  for (const { team, demand, weight } of usable) {
    const share = Math.min(demand, (remaining * weight) / remainingWeight);
    shares.set(team, share);
    remaining = Math.max(0, remaining - share);
    remainingWeight -= weight;
  }
  return shares;
}
