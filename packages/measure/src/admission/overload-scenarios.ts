/** The loads under which admission control is measured and tested. */
import type { OverloadScenario, TrafficClass } from './overload-model';

const TEAMS = 8;

/** Streams of all teams; `medianMs` is chosen so that the fleet without a loss is 80 % full. */
function streams(
  perSecond: number,
  medianMs: number,
  times: Pick<TrafficClass, 'latencyGoalMs' | 'timeoutMs'>,
  weights: readonly number[] = [1, 1, 1],
  teamWeight: (team: number) => number = () => 1,
): TrafficClass[] {
  const usual = TEAMS * weights.reduce((sum, weight) => sum + weight, 0);
  return Array.from({ length: TEAMS }, (_value, team) =>
    weights.map((weight, priority) => ({
      route: `stream-${priority}`,
      team: `team-${team}`,
      priority,
      perSecond: (perSecond * weight * teamWeight(team)) / usual,
      medianMs,
      sigma: 0.5,
      repeatable: true,
      ...times,
    })),
  ).flat();
}

const LARGE: OverloadScenario = {
  seed: 1,
  routers: 131,
  endpoints: 42,
  slots: 64,
  rejects: false,
  classes: streams(400, 4750, { latencyGoalMs: 1000, timeoutMs: 15_000 }),
  durationMs: 72_000,
  lossAtMs: 10_000,
  returnAtMs: 66_000,
  lost: 14,
  measureFromMs: 30_000,
  measureToMs: 50_000,
  hasAdmission: true,
};

const SMALL: OverloadScenario = {
  ...LARGE,
  routers: 32,
  endpoints: 63,
  slots: 24,
  classes: streams(1011, 1060, { latencyGoalMs: 800, timeoutMs: 6000 }),
  lost: 32,
};

function writes(perSecond: number, medianMs: number): TrafficClass[] {
  return Array.from({ length: TEAMS }, (_value, team) => ({
    route: 'write',
    team: `team-${team}`,
    priority: 2,
    perSecond: perSecond / TEAMS,
    medianMs,
    sigma: 0.3,
    latencyGoalMs: 300,
    timeoutMs: 600,
    repeatable: false,
  }));
}

const PLAIN: OverloadScenario = {
  ...LARGE,
  endpoints: 3,
  slots: 6,
  classes: writes(160, 21.4),
  lost: 1,
};

export const OVERLOAD_SCENARIOS = {
  large: LARGE,
  small: SMALL,
  greedyTeam: {
    ...LARGE,
    lost: 0,
    classes: streams(
      400,
      4750,
      { latencyGoalMs: 1000, timeoutMs: 15_000 },
      [1, 1, 1],
      team => (team === 0 ? 7 : 1),
    ),
  },
  manyLessUrgent: {
    ...LARGE,
    classes: streams(
      400,
      4750,
      { latencyGoalMs: 1000, timeoutMs: 15_000 },
      [1, 1, 8],
    ),
  },
  manyUrgent: {
    ...LARGE,
    classes: streams(
      500,
      4750,
      { latencyGoalMs: 1000, timeoutMs: 15_000 },
      [8, 1, 1],
    ),
  },
  /** Teams with one priority each: two of eight are the least urgent. */
  urgentTeams: {
    ...LARGE,
    classes: streams(
      500,
      4750,
      { latencyGoalMs: 1000, timeoutMs: 15_000 },
      [1, 0, 0],
    ).map(kind => ({
      ...kind,
      priority: ['team-6', 'team-7'].includes(kind.team) ? 2 : 0,
    })),
  },
  plain: PLAIN,
  plainRejecting: { ...PLAIN, rejects: true },
  plainSlow: { ...PLAIN, slowdown: 6 },
  plainSlowRejecting: { ...PLAIN, slowdown: 6, rejects: true },
  plainVerySlow: { ...PLAIN, slowdown: 30 },
  unloaded: { ...LARGE, lost: 0 },
} as const satisfies Record<string, OverloadScenario>;
