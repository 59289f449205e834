/**
 * A scenario: one kind of operation, with the steps at which faults are
 * injected.
 */
import type { Fault, Injection, Violation } from '../simulation/fault';

/** Result of one history. */
export interface HistoryReport {
  readonly violations: readonly Violation[];
  /** Number of planned faults whose step was reached. */
  readonly injected: number;
}

export abstract class Scenario<Step extends string = string> {
  /** Name in the fault matrix and for `--scenario`, such as `order`. */
  abstract readonly name: string;
  abstract readonly steps: readonly Step[];

  /** Returns why a fault cannot occur at a step; undefined if it can. */
  abstract exemption(fault: Fault, step: Step): string | undefined;

  /**
   * Returns faults that a history needs to reach a step that it skips without
   * them.
   */
  abstract prerequisites(step: Step): readonly Injection<Step>[];

  /** Runs one seeded history with the planned faults. */
  abstract run(seed: number, plan: readonly Injection<Step>[]): HistoryReport;
}
