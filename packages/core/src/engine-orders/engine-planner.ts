/** Chooses which engines hold which model, changing as few as possible. */
import { rendezvousWeight } from '../hashing/rendezvous';
import type { EndpointId, ModelId } from '../types/ids';
import type { EngineState } from './engine-state';

/** How many engines should hold a state. */
export interface ModelPlan extends EngineState {
  readonly engines: number;
}

/** A live engine, and the model that it holds or was told to hold. */
export interface PlannedEngine {
  readonly id: EndpointId;
  readonly model: ModelId | undefined;
}

/** A model that has fewer engines than it should. */
export interface Shortage {
  readonly model: ModelId;
  readonly missing: number;
}

export interface EnginePlan {
  /** What each engine should hold; engines without an entry are left alone. */
  readonly targets: ReadonlyMap<EndpointId, EngineState>;
  readonly shortages: readonly Shortage[];
}

/**
 * Keeps engines on the model that they have, up to the wanted number, and fills
 * the rest from engines that no model needs. Ranks by rendezvous hashing, so
 * that two planners with the same view plan the same.
 */
export function planEngines(
  engines: readonly PlannedEngine[],
  plans: readonly ModelPlan[],
): EnginePlan {
  const targets = new Map<EndpointId, EngineState>();
  const spare = new Set(engines.map(engine => engine.id));
  for (const plan of plans) {
    const holders = engines.filter(engine => engine.model === plan.model);
    const kept = rank(
      plan.model,
      holders.map(engine => engine.id),
    ).slice(0, plan.engines);
    assign(kept, plan, targets, spare);
  }
  const shortages: Shortage[] = [];
  for (const plan of plans) {
    const held = countOf(plan.model, targets);
    const added = rank(plan.model, [...spare]).slice(0, plan.engines - held);
    assign(added, plan, targets, spare);
    const missing = plan.engines - held - added.length;
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

function countOf(
  model: ModelId,
  targets: ReadonlyMap<EndpointId, EngineState>,
): number {
  let count = 0;
  for (const target of targets.values()) {
    count += target.model === model ? 1 : 0;
  }
  return count;
}
