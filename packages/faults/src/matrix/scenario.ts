/** One kind of operation whose steps faults are put into. */
import type { Fault, Injection, Violation } from '../simulation/fault';

/** What one history showed. */
export interface HistoryReport {
  readonly violations: readonly Violation[];
  /** Faults of the plan whose step was reached. */
  readonly injected: number;
}

export abstract class Scenario<Step extends string = string> {
  /** Name in tables, such as `order`. */
  abstract readonly name: string;
  abstract readonly steps: readonly Step[];

  /** Why a fault cannot occur at a step; undefined when it can. */
  abstract exemption(fault: Fault, step: Step): string | undefined;

  /** Faults that bring a history to a step which it would not reach without. */
  abstract prerequisites(step: Step): readonly Injection<Step>[];

  /** Runs one seeded history with the planned faults. */
  abstract run(seed: number, plan: readonly Injection<Step>[]): HistoryReport;
}
