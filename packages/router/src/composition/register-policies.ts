/** Registers the components that decide on requests by the current configuration. */
import { asFunction } from 'awilix';
import type { AwilixContainer } from 'awilix';

import { DEFAULT_ADMISSION_SETTINGS } from '@sesamegrade/core/limits/admission';
import { UNLIMITED_TEAM } from '@sesamegrade/core/limits/team-policy';
import type { TeamLimits } from '@sesamegrade/core/limits/team-policy';
import { DEFAULT_MEMBERSHIP_TIMES } from '@sesamegrade/core/membership/member-table';
import type { Placement } from '@sesamegrade/core/placement/placement';
import { AffinityPlacement } from '@sesamegrade/core/placement/affinity-placement';
import { BudgetedRetryStep } from '@sesamegrade/core/policies/budgeted-retry-step';
import { EndpointPlacementStep } from '@sesamegrade/core/policies/endpoint-placement-step';
import { EndpointPools } from '@sesamegrade/core/policies/endpoint-pools';
import { FleetPolicy } from '@sesamegrade/core/policies/fleet-policy';
import { PoolAdmissionStep } from '@sesamegrade/core/policies/pool-admission-step';
import type { Request } from '@sesamegrade/core/requests/types';
import { Backoff } from '@sesamegrade/core/retries/backoff';
import {
  DEFAULT_RETRY_BUDGET,
  RetryBudget,
} from '@sesamegrade/core/retries/retry-budget';
import { DEFAULT_MAX_ATTEMPTS } from '@sesamegrade/core/retries/retry-decision';
import { teamId } from '@sesamegrade/core/types/ids';
import type { TeamId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Settings } from '@sesamegrade/settings/schema';
import type { Cradle } from './cradle';

const MAX_RESUMPTIONS = 5;

/** Weight of an even load relative to cache reuse, by the setting `placement.weighing`. */
const SKEW_WEIGHTS = { skew: 1, reuse: 0 } as const;

export function registerPolicies(container: AwilixContainer<Cradle>): void {
  container.register({
    policy: asFunction(newPolicy).singleton(),
    pools: asFunction(
      ({ endpoints, loads, detector }: Cradle) =>
        new EndpointPools({
          endpoints,
          loads,
          ramp: DEFAULT_MEMBERSHIP_TIMES.rampDuration,
          isEjected: endpoint => !detector.accepts(endpoint),
        }),
    ).singleton(),
    admission: asFunction(newAdmissionStep).singleton(),
    placement: asFunction(newPlacementStep).singleton(),
    retry: asFunction(newRetryStep).singleton(),
  });
}

function newPolicy({ settings, configuration }: Cradle): FleetPolicy {
  const { placement, limits } = settings;
  return new FleetPolicy({
    replica: configuration,
    baseline: {
      teams: teamLimits(settings),
      bound: placement.bound,
      skewWeight: SKEW_WEIGHTS[placement.weighing],
      requestTimeout: milliseconds(limits.request_timeout_ms),
      stopWait: milliseconds(limits.stop_wait_ms),
    },
  });
}

function teamLimits({ team }: Settings): Map<TeamId, TeamLimits> {
  const limits = new Map<TeamId, TeamLimits>();
  for (const [id, { weight, max_in_flight }] of Object.entries(team)) {
    const { requestsPerSecond } = UNLIMITED_TEAM;
    limits.set(teamId(id), {
      weight,
      maxInFlight: max_in_flight,
      requestsPerSecond,
    });
  }
  return limits;
}

/** Reads the queue wait at each use, because operators may change it at run time. */
function newAdmissionStep(cradle: Cradle): PoolAdmissionStep {
  const { pools, demands, policy, random } = cradle;
  return new PoolAdmissionStep({
    pools,
    demands,
    policy,
    random,
    admission: {
      ...DEFAULT_ADMISSION_SETTINGS,
      get maxWait() {
        return policy.queueWait;
      },
    },
  });
}

function newPlacementStep(cradle: Cradle): EndpointPlacementStep {
  return new EndpointPlacementStep({
    pools: cradle.pools,
    placementFor: placements(cradle.policy),
    loads: cradle.loads,
    affinity: cradle.affinity,
    endpoints: cradle.endpoints,
    crashObserver: cradle.crashObserver,
    suspects: cradle.suspectRegistry,
    observers: [cradle.healthObserver, cradle.crashObserver],
  });
}

/** Caches one placement per combination of bound and skew weight. */
function placements(policy: FleetPolicy): (request: Request) => Placement {
  const byParameters = new Map<string, Placement>();
  return request => {
    const bound = policy.bound(request.target);
    const skewWeight = policy.skewWeight(request);
    const key = `${bound} ${skewWeight}`;
    const placement =
      byParameters.get(key) ?? new AffinityPlacement({ bound, skewWeight });
    byParameters.set(key, placement);
    return placement;
  };
}

/** Reads the retry fraction at each use, because operators may change it at run time. */
function newRetryStep({ random, policy }: Cradle): BudgetedRetryStep {
  return new BudgetedRetryStep({
    budget: new RetryBudget({
      ...DEFAULT_RETRY_BUDGET,
      get fraction() {
        return policy.retryFraction;
      },
    }),
    backoff: new Backoff(random),
    maxAttempts: DEFAULT_MAX_ATTEMPTS,
    maxResumptions: MAX_RESUMPTIONS,
  });
}
