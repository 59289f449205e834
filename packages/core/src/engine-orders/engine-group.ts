/** A group of engines covered by one lease and managed by the router that owns the shared task. */
import type { TaskAssignment } from '../shared-tasks/task-assignment';
import type { LeaseManager } from '../leases/lease-manager';
import type { EndpointTable } from '../membership/endpoint-table';
import type { FleetPolicy } from '../policies/fleet-policy';
import { PeriodicTask } from '../table/periodic-task';
import type { EndpointId, LeaseId, ModelId } from '../types/ids';
import type { Instant } from '../types/units';
import type { ModelPlan } from './engine-planner';
import type { EngineReconciler } from './engine-reconciler';

export interface EngineGroupOptions {
  readonly lease: LeaseId;
  readonly models: readonly ModelId[];
  /**
   * Desired number of engines per model; if undefined, only models with a
   * configured number are planned.
   */
  readonly enginesPerModel: number | undefined;
  readonly endpoints: EndpointTable;
  readonly tasks: TaskAssignment;
  readonly leaseManager: LeaseManager;
  readonly reconciler: EngineReconciler;
  readonly policy: FleetPolicy;
}

/**
 * Rendezvous hashing reassigns the task as soon as a router joins or leaves; the
 * lease determines which router may act while routers disagree about the owner.
 */
export class EngineGroup extends PeriodicTask {
  readonly #options: EngineGroupOptions;
  /** Plans last given to the reconciler, as JSON. */
  #sentPlans = '[]';

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
    const { tasks, leaseManager, lease, reconciler } = this.#options;
    const plans = this.#plans();
    if (plans.length > 0 && tasks.owns(`lease:${lease}`)) {
      leaseManager.acquire(lease, now);
    } else {
      leaseManager.release(lease, now);
    }
    reconciler.setEngines(this.#engines());
    this.#sendPlans(plans);
    reconciler.tick(now);
  }

  /** Gives the reconciler only changed plans, as every call makes it plan again. */
  #sendPlans(plans: readonly ModelPlan[]): void {
    const text = JSON.stringify(plans);
    if (text !== this.#sentPlans) {
      this.#sentPlans = text;
      this.#options.reconciler.setPlans(plans);
    }
  }

  #plans(): ModelPlan[] {
    const { models, enginesPerModel, policy } = this.#options;
    return models.flatMap(model => {
      const plan = policy.enginePlan(model, enginesPerModel);
      return plan === undefined ? [] : [plan];
    });
  }

  /** Engines of the group's models that are joining or live. */
  *#engines(): Generator<EndpointId> {
    const { endpoints, models } = this.#options;
    for (const row of endpoints.rows()) {
      const isUsable = row.phase === 'joining' || row.phase === 'live';
      const { serving } = row;
      const isOfGroup =
        serving.kind === 'engine' &&
        serving.models.some(model => models.includes(model));
      if (isUsable && isOfGroup) {
        yield row.id;
      }
    }
  }
}
