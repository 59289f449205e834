/**
 * Runs the fault matrix: every fault at every step of a scenario, and pairs of
 * faults.
 */
import { Random } from '@sesamegrade/core/random/random';
import type { Fault, Injection, Violation } from '../simulation/fault';
import { FAULTS } from '../simulation/fault';
import type { Scenario } from './scenario';

/** Result of the histories of one cell. */
export type CellResult =
  | { readonly kind: 'pass'; readonly histories: number }
  | { readonly kind: 'cannot-occur'; readonly why: string }
  | { readonly kind: 'known-red'; readonly issue: string }
  | { readonly kind: 'failed'; readonly violation: Violation }
  /** No history reached the step with all its faults, so nothing was tested. */
  | { readonly kind: 'not-reached' };

export interface Cell {
  readonly scenario: string;
  readonly fault: Fault;
  readonly step: string;
  readonly result: CellResult;
}

export interface PairCell {
  readonly scenario: string;
  readonly faults: readonly [Fault, Fault];
  readonly result: CellResult;
}

/** A cell whose failure is recorded in KNOWN-RED.txt. */
export interface KnownRed {
  readonly scenario: string;
  readonly fault: Fault;
  readonly step: string;
  readonly issue: string;
}

export interface MatrixOptions {
  readonly seed: number;
  /** Number of histories in which all faults of a cell must be injected. */
  readonly histories: number;
  readonly knownRed: readonly KnownRed[];
}

/** Faults that are injected together, each at a random step of every scenario. */
export const FAULT_PAIRS: readonly (readonly [Fault, Fault])[] = [
  ['store-answer-lost', 'router-pause'],
  ['store-answer-lost', 'router-kill'],
  ['store-answer-lost', 'store-down'],
  ['store-down', 'router-pause'],
  ['store-slow', 'router-kill'],
  ['store-rate-limited', 'store-answer-lost'],
  ['router-pause', 'router-pause'],
  ['router-pause', 'engine-crash'],
  ['router-pause', 'split-views'],
  ['router-stop', 'store-down'],
  ['router-stop', 'late-answer'],
  ['reset-mid-answer', 'router-kill'],
  ['reset-before-headers', 'store-answer-lost'],
  ['late-answer', 'duplicated-answer'],
  ['stall', 'router-kill'],
  ['engine-crash', 'flapping-endpoint'],
  ['poison-request', 'poison-request'],
  ['stale-list', 'engine-crash'],
  ['operators-racing', 'store-answer-lost'],
  ['connection-refused', 'router-stop'],
];

/** Max histories to run for each history that must reach its step. */
const MAX_RUNS_PER_HISTORY = 12;
const MAX_OCCURRENCE = 3;

/** Runs every fault at every step of a scenario. */
export function runCells(scenario: Scenario, options: MatrixOptions): Cell[] {
  const cells: Cell[] = [];
  for (const fault of FAULTS) {
    for (const step of scenario.steps) {
      const result = runCell(scenario, fault, step, options);
      cells.push({ scenario: scenario.name, fault, step, result });
    }
  }
  return cells;
}

/** Runs every pair of faults at random steps of a scenario. */
export function runPairs(
  scenario: Scenario,
  options: MatrixOptions,
): PairCell[] {
  return FAULT_PAIRS.map(faults => {
    const result = runPair(scenario, faults, options);
    return { scenario: scenario.name, faults, result };
  });
}

function runPair(
  scenario: Scenario,
  faults: readonly Fault[],
  options: MatrixOptions,
): CellResult {
  const exemptions = faults.map(fault => exemptionAtAllSteps(scenario, fault));
  const why = exemptions.find(reason => reason !== undefined);
  if (why !== undefined) {
    return { kind: 'cannot-occur', why };
  }
  const plan = (random: Random) =>
    faults.map(fault => planPairFault(scenario, fault, random));
  return runHistories(scenario, plan, options, faults.length);
}

/**
 * Returns why a fault cannot occur at any step; undefined if it can at some
 * step.
 */
function exemptionAtAllSteps(
  scenario: Scenario,
  fault: Fault,
): string | undefined {
  const reasons = scenario.steps.map(step => scenario.exemption(fault, step));
  return reasons.includes(undefined) ? undefined : reasons[0];
}

function runCell(
  scenario: Scenario,
  fault: Fault,
  step: string,
  options: MatrixOptions,
): CellResult {
  const why = scenario.exemption(fault, step);
  if (why !== undefined) {
    return { kind: 'cannot-occur', why };
  }
  const prerequisites = scenario.prerequisites(step);
  const plan = (random: Random) => [
    ...prerequisites,
    { fault, step, occurrence: random.integer(1, MAX_OCCURRENCE) },
  ];
  const result = runHistories(
    scenario,
    plan,
    options,
    prerequisites.length + 1,
  );
  const known = options.knownRed.find(
    entry =>
      entry.scenario === scenario.name &&
      entry.fault === fault &&
      entry.step === step,
  );
  return known && result.kind === 'failed'
    ? { kind: 'known-red', issue: known.issue }
    : result;
}

/**
 * Runs until enough histories had all their faults injected; stops at the first
 * violation.
 */
function runHistories(
  scenario: Scenario,
  plan: (random: Random) => Injection<string>[],
  options: MatrixOptions,
  requiredFaults: number,
): CellResult {
  const random = new Random(options.seed);
  const maxRuns = options.histories * MAX_RUNS_PER_HISTORY;
  let histories = 0;
  for (let run = 0; run < maxRuns && histories < options.histories; run += 1) {
    const report = scenario.run(random.seed(), plan(random));
    const [violation] = report.violations;
    if (violation) {
      return { kind: 'failed', violation };
    }
    histories += report.injected >= requiredFaults ? 1 : 0;
  }
  return histories > 0 ? { kind: 'pass', histories } : { kind: 'not-reached' };
}

/** Plans a fault at a random step at which it can occur. */
function planPairFault(
  scenario: Scenario,
  fault: Fault,
  random: Random,
): Injection<string> {
  const steps = scenario.steps.filter(
    step => scenario.exemption(fault, step) === undefined,
  );
  const occurrence = random.integer(1, MAX_OCCURRENCE);
  return { fault, step: random.pick(steps), occurrence };
}
