/** Weights and limits that the configuration sets for each team. */
import type { TeamId } from '../types/ids';

export interface TeamLimits {
  /** Weight of the team in the fair division of a full pool; greater than zero. */
  readonly weight: number;
  /** Maximum number of requests in flight over the whole fleet. */
  readonly maxInFlight: number;
  /** Maximum number of requests accepted per second over the whole fleet. */
  readonly requestsPerSecond: number;
}

export const UNLIMITED_TEAM: TeamLimits = {
  weight: 1,
  maxInFlight: Number.POSITIVE_INFINITY,
  requestsPerSecond: Number.POSITIVE_INFINITY,
};

/** Looks up a team's limits in the current configuration. */
export abstract class TeamPolicy {
  abstract limits(team: TeamId): TeamLimits;

  /** Sum of the weights of all configured teams. */
  abstract totalWeight(): number;
}

/** Takes limits from a fixed map; teams that are not in it get the fallback. */
export class FixedTeamPolicy extends TeamPolicy {
  readonly #teams: ReadonlyMap<TeamId, TeamLimits>;
  readonly #fallback: TeamLimits;

  constructor(
    teams: ReadonlyMap<TeamId, TeamLimits>,
    fallback: TeamLimits = UNLIMITED_TEAM,
  ) {
    super();
    this.#teams = teams;
    this.#fallback = fallback;
  }

  override limits(team: TeamId): TeamLimits {
    return this.#teams.get(team) ?? this.#fallback;
  }

  override totalWeight(): number {
    let total = 0;
    for (const { weight } of this.#teams.values()) {
      total += weight;
    }
    return total > 0 ? total : this.#fallback.weight;
  }
}
