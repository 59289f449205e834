/** `sesamegrade measure`: seeded measurements of decisions. */
import type { CAC } from 'cac';
import { z } from 'zod';

import {
  DEFAULT_LOAD_EXCHANGE,
  measureVariants,
} from '@sesamegrade/measure/placement/measurement';
import { resultRows } from '@sesamegrade/measure/placement/result-table';
import {
  REGION_SCENARIO,
  CURRENT_FLEET_SCENARIO,
} from '@sesamegrade/measure/placement/scenario';
import type { PlacementScenario } from '@sesamegrade/measure/placement/scenario';
import { PLACEMENT_VARIANTS } from '@sesamegrade/measure/placement/placement-variant';
import { formatRows } from '@sesamegrade/measure/report/figures';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';

const count = z.coerce.number().int().positive();
const measure = z.coerce.number().positive();

const optionsSchema = z.object({
  seed: z.coerce.number().int().nonnegative().default(1),
  runs: count.default(1),
  size: z.enum(['today', 'region']).default('today'),
  engines: count.optional(),
  routers: count.optional(),
  seconds: measure.optional(),
  lag: z.coerce.number().nonnegative().optional(),
  bound: z.coerce.number().gt(1).optional(),
  inFlight: measure.optional(),
  capacity: count.optional(),
  echoing: z.coerce.number().min(0).max(1).optional(),
  churn: z.boolean().default(true),
  surge: z.boolean().default(true),
  way: z.coerce.string().optional(),
  json: z.boolean().default(false),
});

type Options = z.infer<typeof optionsSchema>;

function scenarioOf(options: Options): PlacementScenario {
  const base =
    options.size === 'region' ? REGION_SCENARIO : CURRENT_FLEET_SCENARIO;
  return {
    ...base,
    seed: options.seed,
    engines: options.engines ?? base.engines,
    routers: options.routers ?? base.routers,
    seconds: options.seconds ?? base.seconds,
    lag: options.lag ?? base.lag,
    bound: options.bound ?? base.bound,
    inFlight: options.inFlight ?? base.inFlight,
    capacity: options.capacity ?? base.capacity,
    echoing: options.echoing ?? base.echoing,
    churn: options.churn,
    surge: options.surge,
  };
}

function report(options: Options): ExitStatus {
  const { way: part, runs, json } = options;
  const chosen = PLACEMENT_VARIANTS.filter(({ name }) =>
    name.includes(part ?? ''),
  );
  if (chosen.length === 0) {
    process.stderr.write(`no way has "${part ?? ''}" in its name\n`);
    return ExitCode.usage;
  }
  const scenario = scenarioOf(options);
  const results = measureVariants(
    scenario,
    chosen,
    runs,
    DEFAULT_LOAD_EXCHANGE,
  );
  const text = json
    ? JSON.stringify({ scenario, runs, results }, undefined, 2)
    : formatRows(resultRows(results));
  process.stdout.write(`${text}\n`);
  return ExitCode.success;
}

/** Measures every way of placing on the same seeded load. */
export class MeasureCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command('measure <topic>', 'Measure decisions; the topic is "placement"')
      .option('--seed <number>', 'Seed of the first run (default: 1)')
      .option('--runs <number>', 'Runs to average (default: 1)')
      .option('--size <size>', '"today" or "region" (default: today)')
      .option('--engines <number>', 'Engines')
      .option('--routers <number>', 'Routers')
      .option('--seconds <number>', 'Measured time')
      .option('--lag <seconds>', 'Age of reported loads')
      .option('--bound <multiple>', 'Bound on the mean load')
      .option('--in-flight <number>', 'Mean requests in flight per engine')
      .option('--capacity <number>', 'Requests that an engine runs at once')
      .option('--echoing <part>', 'Part of callers that echo the last place')
      .option('--no-churn', 'Keep every engine')
      .option('--no-surge', 'Keep every team at its usual load')
      .option('--way <text>', 'Only ways with this text in their name')
      .option('--json', 'Print JSON')
      .action((topic: string, given: unknown) => {
        run(() => Promise.resolve(this.#measure(topic, given)));
      });
  }

  #measure(topic: string, given: unknown): ExitStatus {
    const options = optionsSchema.safeParse(given);
    if (topic !== 'placement' || !options.success) {
      const problem = options.success
        ? `unknown topic "${topic}"; try "placement"`
        : z.prettifyError(options.error);
      process.stderr.write(`${problem}\n`);
      return ExitCode.usage;
    }
    return report(options.data);
  }
}
