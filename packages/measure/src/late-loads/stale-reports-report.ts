/** Compares ways to place prompts by stale reports of engines whose speed changes. */
import { rounded } from '../report/figures';
import type { FigureRow } from '../report/figures';
import { NO_NOISE } from './engine-noise';
import type { NoiseOptions } from './engine-noise';
import type { LateLoadsResult } from './late-loads-fleet';
import { PLACEMENT_WAYS, StaleReportsFleet } from './stale-reports-fleet';
import type {
  PlacementWay,
  StaleReportsFigures,
  StaleReportsOptions,
} from './stale-reports-fleet';

/** The engines of a deployment, and their load. */
export interface EngineSite {
  readonly engines: number;
  readonly slots: number;
  readonly requestsPerSecond: number;
  readonly reportLag: number;
  readonly noise: NoiseOptions;
  /** Mean time in ms of a stream. */
  readonly work: number;
}

const NOISE: NoiseOptions = { share: 0.15, slowdown: 2.5, period: 600 };
/** Time in ms after which a router sees the counts of others. */
const COUNT_LAG = 300;
const HOT_SHARE = 0.1;

/** The loads of docs/design/hard-load.md; at the highest one about 80 % of the slots are taken. */
export const ENGINE_SITES: readonly EngineSite[] = [
  ...[471, 741, 1011].map(requestsPerSecond => ({
    engines: 63,
    slots: 24,
    requestsPerSecond,
    reportLag: 200,
    noise: NOISE,
    work: 1000,
  })),
  ...[232, 400].map(requestsPerSecond => ({
    engines: 42,
    slots: 64,
    requestsPerSecond,
    reportLag: 100,
    noise: NO_NOISE,
    work: 5000,
  })),
];

export const ROUTER_COUNTS = [30, 130, 370] as const;

export interface StaleReportsRun {
  readonly seed: number;
  /** Simulated time in seconds, without the warm-up. */
  readonly length: number;
  readonly routers: number;
  readonly way: PlacementWay;
  readonly falseReports?: number;
  readonly unheardRouters?: number;
  readonly speeds?: StaleReportsOptions['speeds'];
  readonly placement?: StaleReportsOptions['placement'];
}

export function runEngineSite(
  site: EngineSite,
  { length, falseReports = 0, ...run }: StaleReportsRun,
): StaleReportsFigures & LateLoadsResult {
  const { engines, work, ...rest } = site;
  const warmUp = Math.ceil((3 * work) / 1000);
  const fleet = new StaleReportsFleet({
    ...rest,
    ...run,
    work,
    endpoints: engines,
    lag: COUNT_LAG,
    hotShare: HOT_SHARE,
    warmUp,
    length: warmUp + length,
    falseReports,
  });
  const result = fleet.run();
  return { ...result, ...fleet.figures };
}

export interface StaleReportsReportOptions {
  readonly seed: number;
  /** Simulated time in seconds, without the warm-up. */
  readonly length: number;
  readonly routers: readonly number[];
}

export function measureStaleReports({
  seed,
  length,
  routers: routerCounts,
}: StaleReportsReportOptions): FigureRow[] {
  return routerCounts.flatMap(routers =>
    ENGINE_SITES.flatMap(site =>
      PLACEMENT_WAYS.map(way => {
        const result = runEngineSite(site, { seed, length, routers, way });
        return {
          routers,
          engines: `${site.engines} x ${site.slots}`,
          'requests/s': site.requestsPerSecond,
          way,
          'max/mean': rounded(result.maxOverMean),
          'by speed': rounded(result.weightedMaxOverMean),
          'needless waits %': rounded(100 * result.needlessWaits),
          'first token ms': Math.round(result.firstTokenMedian),
          'p99 ms': Math.round(result.firstTokenP99),
          'k tokens read': result.subjectTokensRead,
          'above the limit': result.above,
          'windows broken': result.brokenWindows,
          'mean load': rounded(result.meanLoad),
        };
      }),
    ),
  );
}
