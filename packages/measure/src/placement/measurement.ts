/** Runs placement variants on the same seeded workloads and averages the runs. */
import type { Measures } from './meters';
import type { LoadExchangeSettings } from './peer-traffic';
import type { PlacementScenario } from './scenario';
import { Simulation } from './simulation';
import type { PlacementVariant } from './placement-variant';
import { buildWorkload } from './workload';

export interface VariantResult {
  readonly way: string;
  readonly measures: Measures;
}

/** Default settings of the exchange of load between routers. */
export const DEFAULT_LOAD_EXCHANGE: LoadExchangeSettings = {
  sendPeriod: 0.1,
  sendBudget: 1200,
  averaging: 3,
  averagingWithoutCounts: 0.1,
  reportDecay: 5,
};

/** Step between the seeds of successive runs, so that no two runs share a generator's seed. */
const SEED_STEP = 100;

/** Measures that are reported as the maximum of the runs instead of the mean. */
const MAXIMUM_MEASURES: readonly (keyof Measures)[] = ['bytesOfBusiestRouter'];

/** Averages the measures of several runs of one variant. Throws a RangeError without runs. */
export function averageMeasures(runs: readonly Measures[]): Measures {
  const [first] = runs;
  if (!first) {
    throw new RangeError('at least one run is needed');
  }
  const average = { ...first };
  for (const name of Object.keys(first) as (keyof Measures)[]) {
    const values = runs.map(run => run[name]);
    const sum = values.reduce((total, value) => total + value, 0);
    average[name] = MAXIMUM_MEASURES.includes(name)
      ? Math.max(...values)
      : sum / values.length;
  }
  return average;
}

/** Measures variants on a scenario, each on `runs` seeded workloads. */
export function measureVariants(
  scenario: PlacementScenario,
  variants: readonly PlacementVariant[],
  runs: number,
  exchange: LoadExchangeSettings = DEFAULT_LOAD_EXCHANGE,
): VariantResult[] {
  const scenarios = Array.from({ length: runs }, (_, run) => ({
    ...scenario,
    seed: scenario.seed + run * SEED_STEP,
  }));
  const workloads = scenarios.map(entry => buildWorkload(entry));
  return variants.map(variant => {
    const measures = scenarios.map((entry, run) =>
      new Simulation(entry, variant, exchange).run(workloads[run] ?? []),
    );
    return { way: variant.name, measures: averageMeasures(measures) };
  });
}
