/** Compares the ways in which a fleet keeps the rate that an endpoint accepts. */
import { formatRows, rounded } from '../report/figures';
import type { FigureRow } from '../report/figures';
import { runLimit, tolerated } from './limit-run';
import type { StrategyName } from './limit-run';
import { LIMIT_STRATEGIES } from './limit-strategy';

export interface LimitReportOptions {
  readonly seed: number;
  /** Seeds that each row is the worst, or the mean, of. */
  readonly seeds: number;
}

const FLEET_SIZES = [5, 18, 370];
const RATES = [0.3, 2.3, 40, 200];
/** Offered requests as a multiple of the limit. */
const LOAD = 3;
const LEADER_LOST_AT_MS = 20_000;

export function measureLimits({
  seed,
  seeds,
}: LimitReportOptions): FigureRow[] {
  const strategies = Object.keys(LIMIT_STRATEGIES) as StrategyName[];
  return FLEET_SIZES.flatMap(routers =>
    RATES.flatMap(perSecond =>
      strategies.map(strategy => {
        const results = Array.from({ length: seeds }, (_value, index) =>
          runLimit({
            strategy,
            routers,
            perSecond,
            load: LOAD,
            isUneven: index % 2 === 1,
            leaderLostAt: LEADER_LOST_AT_MS,
            seed: seed + index,
          }),
        );
        const mean = (of: (result: (typeof results)[0]) => number) =>
          results.reduce((sum, result) => sum + of(result), 0) / seeds;
        return {
          routers,
          'limit/s': perSecond,
          way: strategy,
          'most in 4 s': Math.max(...results.map(({ most }) => most)),
          tolerated: rounded(tolerated(perSecond), 1),
          'use of limit': rounded(mean(({ use }) => use)),
          'messages/s': rounded(
            mean(({ messagesPerSecond }) => messagesPerSecond),
            1,
          ),
        };
      }),
    ),
  );
}

export const formatLimits = (rows: readonly FigureRow[]) => formatRows(rows);
