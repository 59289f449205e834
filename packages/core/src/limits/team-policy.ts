/** What the configuration grants each team. */
import type { TeamId } from '../types/ids';

export interface TeamLimits {
  /** Share of a full pool relative to other teams; more than zero. */
  readonly weight: number;
  /** Requests in flight over the whole fleet. */
  readonly maxInFlight: number;
  /** Requests accepted per second over the whole fleet. */
  readonly requestsPerSecond: number;
}

export const UNLIMITED_TEAM: TeamLimits = {
  weight: 1,
  maxInFlight: Number.POSITIVE_INFINITY,
  requestsPerSecond: Number.POSITIVE_INFINITY,
};

/** Looks up a team's limits in the configuration in force. */
export abstract class TeamPolicy {
  abstract limits(team: TeamId): TeamLimits;

  /** Sum of the weights of all teams that the configuration knows. */
  abstract totalWeight(): number;
}

/** Limits from a fixed map; other teams get the default. */
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
