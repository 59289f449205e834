/** Assigns models to engines with as few changes as possible. */
import { rendezvousWeight } from '../hashing/rendezvous';
import type { EndpointId, ModelId } from '../types/ids';
import type { EngineState } from './engine-state';

/** Desired state of a model's engines, and their number. */
export interface ModelPlan extends EngineState {
  readonly engines: number;
}

/** A live engine, and the model that it has loaded or was ordered to load. */
export interface PlannedEngine {
  readonly id: EndpointId;
  readonly model: ModelId | undefined;
}

/** A model that has fewer engines than planned. */
export interface Shortage {
  readonly model: ModelId;
  readonly missing: number;
}

export interface EnginePlan {
  /** Desired state of each engine; engines without an entry get no orders. */
  readonly targets: ReadonlyMap<EndpointId, EngineState>;
  readonly shortages: readonly Shortage[];
}

/**
 * Leaves engines on their current model, up to the planned number, and fills
 * models that have too few from engines that no model needs. Ranks engines by
 * rendezvous hashing, so that two routers with the same view make the same plan.
 */
export function planEngines(
  engines: readonly PlannedEngine[],
  plans: readonly ModelPlan[],
): EnginePlan {
  const targets = new Map<EndpointId, EngineState>();
  const spare = new Set(engines.map(engine => engine.id));
  for (const plan of plans) {
    const current = engines.filter(engine => engine.model === plan.model);
    const retained = rank(
      plan.model,
      current.map(engine => engine.id),
    ).slice(0, plan.engines);
    assign(retained, plan, targets, spare);
  }
  const shortages: Shortage[] = [];
  for (const plan of plans) {
    const assigned = countAssigned(plan.model, targets);
    const added = rank(plan.model, [...spare]).slice(
      0,
      plan.engines - assigned,
    );
    assign(added, plan, targets, spare);
    const missing = plan.engines - assigned - added.length;
    if (missing > 0) {
      shortages.push({ model: plan.model, missing });
    }
  }
  return { targets, shortages };
}

function rank(model: ModelId, engines: EndpointId[]): EndpointId[] {
  return engines.sort(
    (left, right) =>
      rendezvousWeight(model, right) - rendezvousWeight(model, left) ||
      (left < right ? -1 : 1),
  );
}

function assign(
  engines: readonly EndpointId[],
  plan: ModelPlan,
  targets: Map<EndpointId, EngineState>,
  spare: Set<EndpointId>,
): void {
  const { model, version, adapters, role } = plan;
  for (const engine of engines) {
    targets.set(engine, { model, version, adapters, role });
    spare.delete(engine);
  }
}

function countAssigned(
  model: ModelId,
  targets: ReadonlyMap<EndpointId, EngineState>,
): number {
  let count = 0;
  for (const target of targets.values()) {
    count += target.model === model ? 1 : 0;
  }
  return count;
}
