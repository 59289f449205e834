/** Reports how uneven the load of endpoints gets while routers see each other's requests late. */
import { rounded } from '../report/figures';
import type { FigureRow } from '../report/figures';
import { LateEngineFleet } from './late-engine-fleet';
import type { LateLoadsResult } from './late-loads-fleet';
import { LateServiceFleet } from './late-service-fleet';

/** Mean times in ms for which a request runs. */
const ENGINE_WORK_MS = 540;
const SERVICE_WORK_MS = 71;
const ENGINE_SLOTS = 24;
const SERVICE_SLOTS = 6;

export interface LateFleet {
  readonly routers: number;
  readonly endpoints: number;
  readonly requestsPerSecond: number;
  /** Time in ms after which a router sees what others send. */
  readonly lag: number;
  /** Share of the requests about one subject; undefined for a plain service. */
  readonly hotShare?: number;
}

export const LATE_FLEETS: readonly LateFleet[] = [
  ...[0, 0.1, 0.2].map(hotShare => engines(135, 98, 500, 165, hotShare)),
  engines(135, 98, 800, 165, 0.1),
  engines(135, 98, 500, 350, 0.1),
  engines(370, 98, 500, 200, 0.1),
  engines(370, 98, 500, 400, 0.2),
  engines(113, 42, 293, 165, 0.2),
  engines(17, 8, 60, 150, 0.2),
  service(135, 5, 176, 165),
  service(135, 5, 280, 350),
  service(113, 3, 102, 165),
  service(370, 20, 700, 400),
  service(18, 5, 60, 150),
];

export interface LateFleetResult extends LateLoadsResult {
  /** Requests that reached an engine without their subject. */
  readonly missed: number;
}

/** `length` is the simulated time in seconds. */
export function runLateFleet(
  { hotShare, ...fleet }: LateFleet,
  { seed, length }: LateLoadsReportOptions,
): LateFleetResult {
  const options = { ...fleet, seed, length };
  if (hotShare === undefined) {
    const slots = SERVICE_SLOTS;
    const work = SERVICE_WORK_MS;
    return {
      ...new LateServiceFleet({ ...options, slots, work }).run(),
      missed: 0,
    };
  }
  const engineFleet = new LateEngineFleet({
    ...options,
    hotShare,
    slots: ENGINE_SLOTS,
    work: ENGINE_WORK_MS,
  });
  const result = engineFleet.run();
  return { ...result, missed: engineFleet.missed };
}

export interface LateLoadsReportOptions {
  readonly seed: number;
  /** Simulated time in seconds. */
  readonly length: number;
}

export function measureLateLoads(options: LateLoadsReportOptions): FigureRow[] {
  return LATE_FLEETS.map(fleet => {
    const { routers, endpoints, requestsPerSecond, lag, hotShare } = fleet;
    const result = runLateFleet(fleet, options);
    return {
      kind: hotShare === undefined ? 'service' : 'engines',
      routers,
      endpoints,
      'requests/s': requestsPerSecond,
      'lag ms': lag,
      'hot share': hotShare ?? '',
      'above the limit': result.above,
      'of requests': result.windowRequests,
      'windows broken': result.brokenWindows,
      'mean load': rounded(result.meanLoad),
      'without subject': result.missed,
      requests: result.requests,
    };
  });
}

function engines(
  routers: number,
  endpoints: number,
  requestsPerSecond: number,
  lag: number,
  hotShare: number,
): LateFleet {
  return { ...service(routers, endpoints, requestsPerSecond, lag), hotShare };
}

function service(
  routers: number,
  endpoints: number,
  requestsPerSecond: number,
  lag: number,
): LateFleet {
  return { routers, endpoints, requestsPerSecond, lag };
}
