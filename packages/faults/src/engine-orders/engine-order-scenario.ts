/** Scenario of the fault matrix: engine orders that are sent under a lease. */
import type { HistoryReport } from '../matrix/scenario';
import { Scenario } from '../matrix/scenario';
import type { Fault, Injection } from '../simulation/fault';
import { isExchangeFault } from '../simulation/fault';
import type { EngineOrderStep } from './engine-order-router';
import { ENGINE_ORDER_STEPS } from './engine-order-router';
import { EngineOrderSimulation } from './engine-order-simulation';

export class EngineOrderScenario extends Scenario<EngineOrderStep> {
  override readonly name: string;
  override readonly steps = ENGINE_ORDER_STEPS;
  readonly #enginesCheckFence: boolean;

  /**
   * Engines either refuse orders with an old fencing number, or ignore the
   * number.
   */
  constructor(enginesCheckFence: boolean) {
    super();
    this.#enginesCheckFence = enginesCheckFence;
    this.name = enginesCheckFence
      ? 'engine order, number checked'
      : 'engine order, number ignored';
  }

  override exemption(fault: Fault, step: EngineOrderStep): string | undefined {
    return isExchangeFault(fault) && step === 'load'
      ? 'the engine loads weights by itself, without an exchange with the router'
      : undefined;
  }

  override prerequisites(
    step: EngineOrderStep,
  ): readonly Injection<EngineOrderStep>[] {
    return step === 'release-lease'
      ? [{ fault: 'router-stop', step: 'renew-lease', occurrence: 1 }]
      : [];
  }

  override run(
    seed: number,
    plan: readonly Injection<EngineOrderStep>[],
  ): HistoryReport {
    const enginesCheckFence = this.#enginesCheckFence;
    return new EngineOrderSimulation({ seed, plan, enginesCheckFence }).run();
  }
}
