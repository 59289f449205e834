/** What a router adds to a direct connection to the engine, side by side in one run. */
import type { LoadPlan } from '../plan/load-plan';
import { LoadRun } from '../run/load-run';
import type { LoadSummary } from '../run/summary';
import { ProcessFleet } from './process-fleet';
import type { ProcessFleetOptions } from './process-fleet';

const ROUTER = 'router-1';
const ENGINE = 'engine-1';

export interface RelayCostOptions extends ProcessFleetOptions {
  readonly seconds: number;
  readonly chatsPerSecond: number;
  readonly answerTokens: number;
}

export interface RelayCost {
  readonly direct: LoadSummary;
  readonly relayed: LoadSummary;
  /** Tokens that came through the router. */
  readonly relayedTokens: number;
  /** Processor time of the router during the run. */
  readonly routerCpuSeconds: number;
}

/** Sends the same kind of load to the engine and through the router at once. */
export async function measureRelayCost(
  options: RelayCostOptions,
): Promise<RelayCost> {
  const fleet = new ProcessFleet({ ...options, proxies: false });
  try {
    await fleet.start();
    const relayedRun = new LoadRun(plan(options, options.seed), {
      ...fleet.target(),
      platform: undefined,
    });
    const directRun = new LoadRun(plan(options, options.seed + 1000), {
      routers: [fleet.endpoint(ENGINE)],
      operators: [],
    });
    const cpuBefore = fleet.routerCpuSeconds(ROUTER);
    const [direct, relayed] = await Promise.all([
      directRun.run(),
      relayedRun.run(),
    ]);
    const routerCpuSeconds = fleet.routerCpuSeconds(ROUTER) - cpuBefore;
    // Each answer has one gap between tokens fewer than tokens.
    const relayedTokens =
      relayed.interTokenMs.count + relayed.firstTokenMs.count;
    return { direct, relayed, relayedTokens, routerCpuSeconds };
  } finally {
    await fleet.stop();
  }
}

function plan(options: RelayCostOptions, seed: number): LoadPlan {
  const { settings, seconds, chatsPerSecond, answerTokens } = options;
  return {
    seed,
    seconds,
    teams: settings.teams(),
    models: settings.models(),
    chatsPerSecond,
    chatPopulation: Math.ceil(chatsPerSecond * 5),
    returnPauseMs: 1000,
    turnsPerChat: 4,
    maxTokens: answerTokens,
    services: [],
    ordersPerSecond: 0,
    resends: 0,
    lookupsPerSecond: 0,
  };
}
