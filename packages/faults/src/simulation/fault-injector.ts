/** Returns the planned faults of a history when it reaches their steps. */
import type { Fault, Injection } from './fault';

export class FaultInjector<Step extends string> {
  readonly #pending: Injection<Step>[];
  readonly #occurrences = new Map<Step, number>();
  #injectedCount = 0;

  constructor(plan: readonly Injection<Step>[]) {
    this.#pending = [...plan];
  }

  /** Number of faults that were injected so far. */
  get injectedCount(): number {
    return this.#injectedCount;
  }

  /** Counts an occurrence of a step and returns the faults planned for it. */
  reach(step: Step): readonly Fault[] {
    const occurrence = (this.#occurrences.get(step) ?? 0) + 1;
    this.#occurrences.set(step, occurrence);
    const faults: Fault[] = [];
    for (let index = this.#pending.length - 1; index >= 0; index -= 1) {
      const entry = this.#pending[index];
      if (entry?.step === step && entry.occurrence === occurrence) {
        faults.push(entry.fault);
        this.#pending.splice(index, 1);
      }
    }
    this.#injectedCount += faults.length;
    return faults;
  }
}
