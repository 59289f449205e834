/** Limits how many engines load weights at the same time, in total and per model. */
import type { ModelId } from '../types/ids';
import type { ModelPlan } from './engine-planner';
import type { EngineRow } from './engine-row';
import type { EngineReport, EngineState } from './engine-state';
import { sameWeights } from './engine-state';

/** Fraction of a model's engines that may change to another version at the same time. */
const MAX_CHANGING_FRACTION = 0.25;

export class WeightLoadBudget {
  readonly #byModel = new Map<ModelId, number>();
  readonly #plans: readonly ModelPlan[];
  #remaining: number;

  constructor(
    rows: Iterable<EngineRow>,
    plans: readonly ModelPlan[],
    maxLoads: number,
  ) {
    this.#plans = plans;
    this.#remaining = maxLoads;
    for (const row of rows) {
      const model = loadingModel(row);
      if (model !== undefined) {
        this.#addLoad(model);
      }
    }
  }

  /** Reserves one load of weights; returns false when the engine must wait. */
  take(report: EngineReport, target: EngineState): boolean {
    if (this.#remaining <= 0 || !this.#mayInterruptService(report, target)) {
      return false;
    }
    this.#addLoad(target.model);
    return true;
  }

  /**
   * An engine that serves another version of the model goes on serving while
   * too many others change.
   */
  #mayInterruptService(report: EngineReport, target: EngineState): boolean {
    if (report.model !== target.model) {
      return true;
    }
    const plan = this.#plans.find(entry => entry.model === target.model);
    const limit = Math.max(
      1,
      Math.floor((plan?.engines ?? 0) * MAX_CHANGING_FRACTION),
    );
    return (this.#byModel.get(target.model) ?? 0) < limit;
  }

  #addLoad(model: ModelId): void {
    this.#remaining -= 1;
    this.#byModel.set(model, (this.#byModel.get(model) ?? 0) + 1);
  }
}

/**
 * Returns the model whose weights the engine is loading, or was ordered to load
 * and has not yet reported.
 */
export function loadingModel({
  report,
  pending,
}: EngineRow): ModelId | undefined {
  const order = pending?.order;
  if (order !== undefined && (!report || !sameWeights(report, order))) {
    return order.model;
  }
  return report?.loading ? report.model : undefined;
}
