import { FixedTeamPolicy } from '@sesamegrade/core/limits/team-policy';
import type {
  TeamLimits,
  TeamPolicy,
} from '@sesamegrade/core/limits/team-policy';
import { teamId } from '@sesamegrade/core/types/ids';
import type { TeamId } from '@sesamegrade/core/types/ids';
import type { Settings } from '@sesamegrade/settings/schema';

/** Returns the limits that the settings give each team. */
export function settingsTeamPolicy({ team }: Settings): TeamPolicy {
  const limits = new Map<TeamId, TeamLimits>();
  for (const [id, { weight, max_in_flight }] of Object.entries(team)) {
    limits.set(teamId(id), {
      weight,
      maxInFlight: max_in_flight,
      requestsPerSecond: Number.POSITIVE_INFINITY,
    });
  }
  return new FixedTeamPolicy(limits);
}
