/** One group of engines that a lease covers, planned by the router that has the duty. */
import type { DutyRoster } from '../duties/duty-roster';
import type { LeaseManager } from '../leases/lease-manager';
import type { EndpointTable } from '../membership/endpoint-table';
import type { FleetPolicy } from '../policies/fleet-policy';
import { System } from '../table/system';
import type { EndpointId, LeaseId, ModelId } from '../types/ids';
import type { Instant } from '../types/units';
import type { ModelPlan } from './engine-planner';
import type { EngineReconciler } from './engine-reconciler';

export interface EngineGroupOptions {
  readonly lease: LeaseId;
  readonly models: readonly ModelId[];
  /** Engines that each model should have; undefined plans nothing. */
  readonly wanted: number | undefined;
  readonly endpoints: EndpointTable;
  readonly duties: DutyRoster;
  readonly keeper: LeaseManager;
  readonly reconciler: EngineReconciler;
  readonly policy: FleetPolicy;
}

/**
 * The duty moves by rendezvous hashing as soon as routers come and go; the
 * lease decides who may act while they disagree.
 */
export class EngineGroup extends System {
  readonly #options: EngineGroupOptions;
  /** The plans that the reconciler has, as text. */
  #told = '[]';

  constructor(options: EngineGroupOptions) {
    super();
    this.#options = options;
  }

  get lease(): LeaseId {
    return this.#options.lease;
  }

  get reconciler(): EngineReconciler {
    return this.#options.reconciler;
  }

  override tick(now: Instant): void {
    const { duties, keeper, lease, reconciler } = this.#options;
    const plans = this.#plans();
    if (plans.length > 0 && duties.owns(`lease:${lease}`)) {
      keeper.acquire(lease, now);
    } else {
      keeper.release(lease, now);
    }
    reconciler.setEngines(this.#engines());
    this.#tellPlans(plans);
    reconciler.tick(now);
  }

  /** Tells the reconciler only what is new, as each telling makes it plan again. */
  #tellPlans(plans: readonly ModelPlan[]): void {
    const text = JSON.stringify(plans);
    if (text !== this.#told) {
      this.#told = text;
      this.#options.reconciler.setPlans(plans);
    }
  }

  #plans(): ModelPlan[] {
    const { models, wanted, policy } = this.#options;
    return models.flatMap(model => {
      const plan = policy.enginePlan(model, wanted);
      return plan === undefined ? [] : [plan];
    });
  }

  /** Engines of the group's models that have not begun to leave. */
  *#engines(): Generator<EndpointId> {
    const { endpoints, models } = this.#options;
    for (const row of endpoints.rows()) {
      const works = row.phase === 'joining' || row.phase === 'live';
      const { serving } = row;
      const ours =
        serving.kind === 'engine' &&
        serving.models.some(model => models.includes(model));
      if (works && ours) {
        yield row.id;
      }
    }
  }
}
