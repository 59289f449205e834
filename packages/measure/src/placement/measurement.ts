/** Runs every way of placing on the same seeded loads and averages the runs. */
import type { Measures } from './meters';
import type { LoadExchangeSettings } from './peer-traffic';
import type { Scenario } from './scenario';
import { Simulation } from './simulation';
import type { PlacementVariant } from './placement-variant';
import { buildWorkload } from './workload';

export interface VariantResult {
  readonly way: string;
  readonly measures: Measures;
}

/** How routers tell each other about load. */
export const DEFAULT_LOAD_EXCHANGE: LoadExchangeSettings = {
  sendPeriod: 0.1,
  sendBudget: 1200,
  averaging: 3,
  averagingWithoutCounts: 0.1,
  reportDecay: 5,
};

/** Seeds of successive runs differ by this much, so that none shares a generator. */
const seedStep = 100;

/** Measures of which the highest run counts rather than the mean. */
const highestCounts: readonly (keyof Measures)[] = ['bytesOfBusiestRouter'];

/** Averages the measures of several runs of one way. */
export function averageMeasures(runs: readonly Measures[]): Measures {
  const [first] = runs;
  if (!first) {
    throw new RangeError('at least one run is needed');
  }
  const average = { ...first };
  for (const name of Object.keys(first) as (keyof Measures)[]) {
    const values = runs.map(run => run[name]);
    const sum = values.reduce((total, value) => total + value, 0);
    average[name] = highestCounts.includes(name)
      ? Math.max(...values)
      : sum / values.length;
  }
  return average;
}

/** Measures ways on a scenario, each on `runs` seeded loads. */
export function measureVariants(
  scenario: Scenario,
  ways: readonly PlacementVariant[],
  runs: number,
  tuning: LoadExchangeSettings = DEFAULT_LOAD_EXCHANGE,
): VariantResult[] {
  const scenarios = Array.from({ length: runs }, (_, run) => ({
    ...scenario,
    seed: scenario.seed + run * seedStep,
  }));
  const loads = scenarios.map(entry => buildWorkload(entry));
  return ways.map(way => {
    const measures = scenarios.map((entry, run) =>
      new Simulation(entry, way, tuning).run(loads[run] ?? []),
    );
    return { way: way.name, measures: averageMeasures(measures) };
  });
}
