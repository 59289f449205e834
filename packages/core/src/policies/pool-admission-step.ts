/** Admission step of the request flow, with one admission queue per pool. */
import { Admission } from '../limits/admission';
import type { AdmissionDecision, AdmissionSettings } from '../limits/admission';
import type { DemandTable } from '../limits/demand-table';
import { GossipedShares } from '../limits/gossiped-shares';
import type { PoolId } from '../limits/pool';
import { TeamLimiter } from '../limits/team-limiter';
import type { TeamPolicy } from '../limits/team-policy';
import type { Random } from '../random/random';
import { AdmissionStep } from '../requests/steps';
import type { AdmissionResult, QueuedAdmissionResult } from '../requests/steps';
import type { Request, Target } from '../requests/types';
import type { Instant } from '../types/units';
import type { EndpointPools } from './endpoint-pools';
import { poolOf } from './endpoint-pools';

export interface PoolAdmissionStepOptions {
  readonly pools: EndpointPools;
  readonly demands: DemandTable;
  readonly policy: TeamPolicy;
  readonly random: Random;
  readonly admission: AdmissionSettings;
}

interface PoolQueue {
  readonly target: Target;
  readonly admission: Admission;
}

export class PoolAdmissionStep extends AdmissionStep {
  readonly #options: PoolAdmissionStepOptions;
  readonly #limiter: TeamLimiter;
  readonly #queues = new Map<PoolId, PoolQueue>();

  constructor(options: PoolAdmissionStepOptions) {
    super();
    this.#options = options;
    this.#limiter = new TeamLimiter(options.policy);
  }

  override request(request: Request, now: Instant): AdmissionResult {
    const { admission } = this.#queueOf(request.target);
    admission.onCapacityChanged(
      this.#options.pools.capacity(request.target, now),
    );
    const decision = admission.request(
      {
        request: request.id,
        team: request.team,
        priority: request.priority,
        deadline: request.deadline,
      },
      now,
    );
    return toAdmissionResult(decision);
  }

  override release(request: Request, now: Instant): void {
    const { admission } = this.#queueOf(request.target);
    admission.cancel(request.id, now);
    admission.onFinished(request.id, now);
  }

  override tick(now: Instant): readonly QueuedAdmissionResult[] {
    const decisions: QueuedAdmissionResult[] = [];
    for (const { target, admission } of this.#queues.values()) {
      if (admission.waiting === 0) {
        continue;
      }
      admission.onCapacityChanged(this.#options.pools.capacity(target, now));
      for (const decision of admission.tick(now)) {
        decisions.push({
          request: decision.request,
          result: toAdmissionResult(decision),
        });
      }
    }
    return decisions;
  }

  #queueOf(target: Target): PoolQueue {
    const pool = poolOf(target);
    const existing = this.#queues.get(pool);
    if (existing) {
      return existing;
    }
    const queue = { target, admission: this.#newAdmission(pool) };
    this.#queues.set(pool, queue);
    return queue;
  }

  #newAdmission(pool: PoolId): Admission {
    const { demands, policy, random, admission } = this.#options;
    const meter = demands.meter(pool);
    const shares = new GossipedShares(pool, demands, policy);
    const collaborators = {
      policy,
      limiter: this.#limiter,
      shares,
      meter,
      random,
    };
    return new Admission(collaborators, admission);
  }
}

function toAdmissionResult(decision: AdmissionDecision): AdmissionResult {
  switch (decision.kind) {
    case 'admitted':
      return { kind: 'admitted' };
    case 'queued':
      return { kind: 'queued', until: decision.until };
    case 'refused':
      return { kind: 'refused', reason: decision.reason };
  }
}
