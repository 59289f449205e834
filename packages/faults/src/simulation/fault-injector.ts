/** Hands out the planned faults as a history reaches their steps. */
import type { Fault, Injection } from './fault';

export class FaultInjector<Step extends string> {
  readonly #pending: Injection<Step>[];
  readonly #reached = new Map<Step, number>();
  #applied = 0;

  constructor(plan: readonly Injection<Step>[]) {
    this.#pending = [...plan];
  }

  /** Faults that were put in so far. */
  get injectedCount(): number {
    return this.#applied;
  }

  /** Counts a step and returns the faults that are due at it. */
  reach(step: Step): readonly Fault[] {
    const count = (this.#reached.get(step) ?? 0) + 1;
    this.#reached.set(step, count);
    const due: Fault[] = [];
    for (let index = this.#pending.length - 1; index >= 0; index -= 1) {
      const entry = this.#pending[index];
      if (entry?.step === step && entry.occurrence === count) {
        due.push(entry.fault);
        this.#pending.splice(index, 1);
      }
    }
    this.#applied += due.length;
    return due;
  }
}
