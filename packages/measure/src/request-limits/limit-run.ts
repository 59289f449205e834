/** A seeded run of requests to one endpoint that accepts a limited rate, without network. */
import { Random } from '@sesamegrade/core/random/random';
import { instant } from '@sesamegrade/core/types/units';
import { LIMIT_STRATEGIES } from './limit-strategy';
import type { LimitedFleet, LimitStrategy } from './limit-strategy';

export type StrategyName = keyof typeof LIMIT_STRATEGIES;

export interface LimitRunOptions {
  readonly strategy: StrategyName;
  readonly routers: number;
  readonly perSecond: number;
  /** Offered requests as a multiple of the limit. */
  readonly load: number;
  /** Whether a tenth of the routers gets nine tenths of the requests. */
  readonly isUneven: boolean;
  /** When the router that the others depend on is lost, in ms; undefined for never. */
  readonly leaderLostAt?: number;
  /** When all routers restart and forget what they sent, in ms; undefined for never. */
  readonly restartAt?: number;
  readonly seed: number;
}

export interface LimitRunResult {
  /** Most arrivals in any 4 s. */
  readonly most: number;
  /** Arrivals per second, as a share of the limit. */
  readonly use: number;
  readonly messagesPerSecond: number;
}

/** A run lasts at least so long, and at least until so many permits. */
const MIN_LENGTH_MS = 60_000;
const MIN_PERMITS = 100;
const WINDOW_MS = 4000;
const LEADER_LOST_MS = 2000;
/** Longest time from a router's decision to the arrival. */
const MAX_TRANSIT_MS = 30;
const UNEVEN_SHARE = 0.9;
const UNEVEN_ROUTERS = 0.1;

export function runLimit(options: LimitRunOptions): LimitRunResult {
  const random = new Random(options.seed);
  const { routers, perSecond, load, leaderLostAt, restartAt } = options;
  const fleet = { routers, perSecond, random };
  let strategy = create(options.strategy, fleet);
  let messages = 0;
  let isLeaderLost = false;
  let hasRestarted = false;
  const arrivals: number[] = [];
  const length = Math.max(MIN_LENGTH_MS, (MIN_PERMITS / perSecond) * 1000);
  const meanGap = 1000 / (perSecond * load);
  for (
    let now = random.exponential(meanGap);
    now < length;
    now += random.exponential(meanGap)
  ) {
    if (leaderLostAt !== undefined && now >= leaderLostAt && !isLeaderLost) {
      isLeaderLost = true;
      strategy.onLeaderLost(instant(leaderLostAt + LEADER_LOST_MS));
    }
    if (restartAt !== undefined && now >= restartAt && !hasRestarted) {
      hasRestarted = true;
      messages += strategy.messages;
      strategy = create(options.strategy, fleet);
    }
    if (strategy.accepts(routerOf(options, random), instant(now))) {
      arrivals.push(now + random.fraction() * MAX_TRANSIT_MS);
    }
  }
  arrivals.sort((left, right) => left - right);
  return {
    most: mostWithin(arrivals),
    use: arrivals.length / (perSecond * (length / 1000)),
    messagesPerSecond: (messages + strategy.messages) / (length / 1000),
  };
}

/** The most arrivals that the endpoint tolerates in 4 s. */
export function tolerated(perSecond: number): number {
  return 1.5 * perSecond * (WINDOW_MS / 1000) + 5;
}

function create(name: StrategyName, fleet: LimitedFleet): LimitStrategy {
  return new LIMIT_STRATEGIES[name](fleet);
}

function routerOf(
  { routers, isUneven }: LimitRunOptions,
  random: Random,
): number {
  const busy = Math.max(1, Math.round(routers * UNEVEN_ROUTERS));
  return isUneven && random.fraction() < UNEVEN_SHARE
    ? random.integer(0, busy - 1)
    : random.integer(0, routers - 1);
}

function mostWithin(times: readonly number[]): number {
  let most = 0;
  let first = 0;
  times.forEach((time, index) => {
    while (time - (times[first] ?? time) >= WINDOW_MS) {
      first += 1;
    }
    most = Math.max(most, index - first + 1);
  });
  return most;
}
