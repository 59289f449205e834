/** Admission of the request flow: one gate per pool. */
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

export interface PoolAdmissionOptions {
  readonly pools: EndpointPools;
  readonly demands: DemandTable;
  readonly policy: TeamPolicy;
  readonly random: Random;
  readonly admission: AdmissionSettings;
}

interface Gate {
  readonly target: Target;
  readonly admission: Admission;
}

export class PoolAdmission extends AdmissionStep {
  readonly #options: PoolAdmissionOptions;
  readonly #limiter: TeamLimiter;
  readonly #gates = new Map<PoolId, Gate>();

  constructor(options: PoolAdmissionOptions) {
    super();
    this.#options = options;
    this.#limiter = new TeamLimiter(options.policy);
  }

  override request(request: Request, now: Instant): AdmissionResult {
    const { admission } = this.#gateOf(request.target);
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
    return answerOf(decision);
  }

  override release(request: Request, now: Instant): void {
    const { admission } = this.#gateOf(request.target);
    admission.cancel(request.id, now);
    admission.onFinished(request.id, now);
  }

  override tick(now: Instant): readonly QueuedAdmissionResult[] {
    const answers: QueuedAdmissionResult[] = [];
    for (const { target, admission } of this.#gates.values()) {
      if (admission.waiting === 0) {
        continue;
      }
      admission.onCapacityChanged(this.#options.pools.capacity(target, now));
      for (const decision of admission.tick(now)) {
        answers.push({
          request: decision.request,
          result: answerOf(decision),
        });
      }
    }
    return answers;
  }

  #gateOf(target: Target): Gate {
    const pool = poolOf(target);
    const kept = this.#gates.get(pool);
    if (kept) {
      return kept;
    }
    const gate = { target, admission: this.#newAdmission(pool) };
    this.#gates.set(pool, gate);
    return gate;
  }

  #newAdmission(pool: PoolId): Admission {
    const { demands, policy, random, admission } = this.#options;
    const meter = demands.meter(pool);
    const shares = new GossipedShares(pool, demands, policy);
    const parts = { policy, limiter: this.#limiter, shares, meter, random };
    return new Admission(parts, admission);
  }
}

function answerOf(decision: AdmissionDecision): AdmissionResult {
  switch (decision.kind) {
    case 'admitted':
      return { kind: 'admitted' };
    case 'queued':
      return { kind: 'queued', until: decision.until };
    case 'refused':
      return { kind: 'refused', reason: decision.reason };
  }
}
