/** Measures the cost of a router by loading it and the engine directly at the same time. */
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
  /** Tokens of the responses through the router. */
  readonly relayedTokens: number;
  /** Processor time that the router used during the run, in seconds. */
  readonly routerCpuSeconds: number;
}

/** Sends the same kind of load to the engine directly and through the router at the same time. */
export async function measureRelayCost(
  options: RelayCostOptions,
): Promise<RelayCost> {
  const fleet = new ProcessFleet({ ...options, proxies: false });
  try {
    await fleet.start();
    const relayedRun = new LoadRun(createPlan(options, options.seed), {
      ...fleet.target(),
      platform: undefined,
    });
    const directRun = new LoadRun(createPlan(options, options.seed + 1000), {
      routers: [fleet.endpoint(ENGINE)],
      operators: [],
    });
    const cpuBefore = fleet.routerCpuSeconds(ROUTER);
    const [direct, relayed] = await Promise.all([
      directRun.run(),
      relayedRun.run(),
    ]);
    const routerCpuSeconds = fleet.routerCpuSeconds(ROUTER) - cpuBefore;
    // A response of n tokens has one first token and n - 1 gaps.
    const relayedTokens =
      relayed.interTokenMs.count + relayed.firstTokenMs.count;
    return { direct, relayed, relayedTokens, routerCpuSeconds };
  } finally {
    await fleet.stop();
  }
}

function createPlan(options: RelayCostOptions, seed: number): LoadPlan {
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
