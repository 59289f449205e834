/** Compares the ways of exchanging loads at several fleet sizes. */
import { formatRows, quantile, rounded } from '../report/figures';
import type { FigureRow } from '../report/figures';
import { ExchangeFleet } from './exchange-fleet';
import type { ExchangeWay } from './exchange-fleet';

export const EXCHANGE_FLEET_SIZES: readonly number[] = [18, 60, 200, 370];

const WAYS: readonly ExchangeWay[] = ['counts', 'totals'];
const ENDPOINTS_PER_ROUTER = 0.47;
const REQUESTS_PER_ROUTER_SECOND = 3;
const BYTES_PER_KB = 1000;

export interface ExchangeReportOptions {
  readonly seed: number;
  /** Simulated seconds per fleet. */
  readonly seconds: number;
  readonly sizes: readonly number[];
}

/** Figures of one way at one fleet size; bytes and messages are per router and second. */
export function measureExchange(options: ExchangeReportOptions): FigureRow[] {
  return options.sizes.flatMap(routers =>
    WAYS.map(way => measureFleet(way, routers, options)),
  );
}

export function formatExchange(rows: readonly FigureRow[]): string {
  return formatRows(rows);
}

function measureFleet(
  way: ExchangeWay,
  routers: number,
  { seed, seconds }: ExchangeReportOptions,
): FigureRow {
  const endpoints = Math.max(6, Math.round(routers * ENDPOINTS_PER_ROUTER));
  const fleet = new ExchangeFleet({
    way,
    routers,
    endpoints,
    requestsPerRouterSecond: REQUESTS_PER_ROUTER_SECOND,
    seed,
  });
  fleet.run(seconds);
  const others = fleet.routers.filter(({ isRelay }) => !isRelay);
  const relays = fleet.routers.filter(({ isRelay }) => isRelay);
  const perSecond = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0) / values.length / seconds;
  const mean =
    fleet.errors.reduce((sum, value) => sum + value, 0) / fleet.errors.length;
  return {
    routers,
    endpoints,
    way,
    'messages/s': rounded(
      perSecond(others.map(({ messagesReceived }) => messagesReceived)),
      1,
    ),
    'received KB/s': rounded(
      perSecond(others.map(({ bytesReceived }) => bytesReceived)) /
        BYTES_PER_KB,
      1,
    ),
    'relay sends KB/s': rounded(
      perSecond(relays.map(({ bytesSent }) => bytesSent)) / BYTES_PER_KB,
      0,
    ),
    'error mean': rounded(mean, 2),
    'error p99': quantile(fleet.errors, 0.99),
  };
}
