/** Limits how many engines load weights at once, over all and within each model. */
import type { ModelId } from '../types/ids';
import type { ModelPlan } from './engine-planner';
import type { EngineRow } from './engine-row';
import type { EngineReport, EngineState } from './engine-state';
import { sameWeights } from './engine-state';

/** Part of a model's engines that may change to another version at once. */
const CHANGING_PART = 0.25;

export class WeightLoadBudget {
  readonly #byModel = new Map<ModelId, number>();
  readonly #plans: readonly ModelPlan[];
  #left: number;

  constructor(
    rows: Iterable<EngineRow>,
    plans: readonly ModelPlan[],
    maxLoads: number,
  ) {
    this.#plans = plans;
    this.#left = maxLoads;
    for (const row of rows) {
      const model = loadingModel(row);
      if (model !== undefined) {
        this.#count(model);
      }
    }
  }

  /** Takes a place for a load; false when the engine must wait for one. */
  take(report: EngineReport, target: EngineState): boolean {
    if (this.#left <= 0 || !this.#mayLeaveService(report, target)) {
      return false;
    }
    this.#count(target.model);
    return true;
  }

  /** An engine that serves an older version stays while too many others change. */
  #mayLeaveService(report: EngineReport, target: EngineState): boolean {
    if (report.model !== target.model) {
      return true;
    }
    const plan = this.#plans.find(entry => entry.model === target.model);
    const limit = Math.max(1, Math.floor((plan?.engines ?? 0) * CHANGING_PART));
    return (this.#byModel.get(target.model) ?? 0) < limit;
  }

  #count(model: ModelId): void {
    this.#left -= 1;
    this.#byModel.set(model, (this.#byModel.get(model) ?? 0) + 1);
  }
}

/** Model whose weights the engine loads, or was told to load without having reported. */
export function loadingModel({
  report,
  pending: exchange,
}: EngineRow): ModelId | undefined {
  const order = exchange?.order;
  if (order !== undefined && (!report || !sameWeights(report, order))) {
    return order.model;
  }
  return report?.loading ? report.model : undefined;
}
