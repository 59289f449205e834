/** Runs many seeded histories of a scenario with random faults. */
import { Random } from '@sesamegrade/core/random/random';
import type { Injection, Violation } from '../simulation/fault';
import { randomPlan } from '../simulation/random-plan';
import type { Scenario } from './scenario';

/** A history that violated a promise; its scenario, seed and plan reproduce it. */
export interface FailedHistory {
  readonly scenario: string;
  readonly seed: number;
  readonly plan: readonly Injection<string>[];
  readonly violations: readonly Violation[];
}

export interface HistoryTotals {
  readonly scenario: string;
  readonly histories: number;
  readonly faults: number;
  readonly broken: readonly FailedHistory[];
}

/** Runs histories with consecutive seeds and up to four faults each. */
export function runHistories(
  scenario: Scenario,
  seed: number,
  rounds: number,
): HistoryTotals {
  const broken: FailedHistory[] = [];
  let faults = 0;
  for (let round = 0; round < rounds; round += 1) {
    const historySeed = seed + round;
    const plan = randomPlan(new Random(historySeed), scenario.steps);
    const report = scenario.run(historySeed, plan);
    faults += report.injected;
    if (report.violations.length > 0) {
      const { violations } = report;
      broken.push({
        scenario: scenario.name,
        seed: historySeed,
        plan,
        violations,
      });
    }
  }
  return { scenario: scenario.name, histories: rounds, faults, broken };
}
