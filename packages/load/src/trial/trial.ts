/** Process trial: runs a load against a fleet of separate processes while faults are injected. */
import type { LoadPlan } from '../plan/load-plan';
import { LoadRun } from '../run/load-run';
import { violatedGuarantees } from '../run/summary';
import type { LoadSummary } from '../run/summary';
import { ProcessFleet } from './process-fleet';
import type { ProcessFleetOptions } from './process-fleet';
import { injectFault } from './trial-fault';
import type { TrialFault } from './trial-fault';

const MS_PER_SECOND = 1000;
const RESPONSE_TOKENS = 32;

export interface TrialOptions extends ProcessFleetOptions {
  readonly seconds: number;
  readonly chatsPerSecond: number;
  readonly faults: readonly TrialFault[];
}

export interface TrialResult {
  readonly run: LoadRun;
  readonly summary: LoadSummary;
  /** Violated guarantees, faults that could not be injected and routers that did not exit with 0. */
  readonly failures: readonly string[];
}

/** Starts the fleet, runs the load with the faults and stops the fleet in any case. */
export async function runTrial(
  options: TrialOptions,
  onProgress: (line: string) => void,
): Promise<TrialResult> {
  const fleet = new ProcessFleet(options);
  try {
    await fleet.start();
    const run = new LoadRun(createPlan(options), fleet.target());
    const durationMs = options.seconds * MS_PER_SECOND;
    const faults = options.faults.map(fault =>
      injectFault(fault, fleet, durationMs, onProgress),
    );
    const [summary, ...faultErrors] = await Promise.all([
      run.run(),
      ...faults.map(fault => fault.then(() => undefined, describeError)),
    ]);
    const failedRouters = await fleet.stop();
    const failures = [
      ...violatedGuarantees(summary),
      ...faultErrors.filter(error => error !== undefined),
      ...failedRouters.map(id => `${id} did not exit with 0`),
    ];
    return { run, summary, failures };
  } finally {
    await fleet.stop();
  }
}

function createPlan(options: TrialOptions): LoadPlan {
  const { settings, seed, seconds, chatsPerSecond } = options;
  return {
    seed,
    seconds,
    teams: settings.teams(),
    models: settings.models(),
    chatsPerSecond,
    chatPopulation: Math.ceil(chatsPerSecond * 5),
    returnPauseMs: 2000,
    turnsPerChat: 8,
    maxTokens: RESPONSE_TOKENS,
    services: settings.services(),
    ordersPerSecond: chatsPerSecond / 4,
    resends: 0.1,
    lookupsPerSecond: 0,
  };
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
