/** `sesamegrade measure`: seeded simulations that compare placement policies. */
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
const positive = z.coerce.number().positive();

const optionsSchema = z.object({
  seed: z.coerce.number().int().nonnegative().default(1),
  runs: count.default(1),
  size: z.enum(['today', 'region']).default('today'),
  engines: count.optional(),
  routers: count.optional(),
  seconds: positive.optional(),
  lag: z.coerce.number().nonnegative().optional(),
  bound: z.coerce.number().gt(1).optional(),
  inFlight: positive.optional(),
  capacity: count.optional(),
  echoing: z.coerce.number().min(0).max(1).optional(),
  churn: z.boolean().default(true),
  surge: z.boolean().default(true),
  way: z.coerce.string().optional(),
  json: z.boolean().default(false),
});

type Options = z.infer<typeof optionsSchema>;

function toScenario(options: Options): PlacementScenario {
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
  const { way: nameFilter, runs, json } = options;
  const selected = PLACEMENT_VARIANTS.filter(({ name }) =>
    name.includes(nameFilter ?? ''),
  );
  if (selected.length === 0) {
    process.stderr.write(
      `--way: no placement policy has "${nameFilter ?? ''}" in its name\n`,
    );
    return ExitCode.usage;
  }
  const scenario = toScenario(options);
  const results = measureVariants(
    scenario,
    selected,
    runs,
    DEFAULT_LOAD_EXCHANGE,
  );
  const text = json
    ? JSON.stringify({ scenario, runs, results }, undefined, 2)
    : formatRows(resultRows(results));
  process.stdout.write(`${text}\n`);
  return ExitCode.success;
}

/** Compares placement policies on the same seeded load. */
export class MeasureCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command(
        'measure <topic>',
        'Compare policies by simulation; the topic is "placement"',
      )
      .option('--seed <number>', 'Seed of the first run (default: 1)')
      .option('--runs <number>', 'Runs to average (default: 1)')
      .option('--size <size>', '"today" or "region" (default: today)')
      .option('--engines <number>', 'Engines')
      .option('--routers <number>', 'Routers')
      .option('--seconds <number>', 'Simulated time that is measured')
      .option('--lag <seconds>', 'Age of the reported loads')
      .option(
        '--bound <multiple>',
        'Maximum load of an engine, as a multiple of the mean',
      )
      .option('--in-flight <number>', 'Mean requests in flight per engine')
      .option('--capacity <number>', 'Maximum concurrent requests of an engine')
      .option(
        '--echoing <part>',
        'Fraction of callers that echo the engine of their last response',
      )
      .option('--no-churn', 'Without engines that join or leave')
      .option('--no-surge', 'Without surges of a team')
      .option('--way <text>', 'Only policies with this text in their name')
      .option('--json', 'Print JSON')
      .action((topic: string, rawOptions: unknown) => {
        run(() => Promise.resolve(this.#measure(topic, rawOptions)));
      });
  }

  #measure(topic: string, rawOptions: unknown): ExitStatus {
    const options = optionsSchema.safeParse(rawOptions);
    if (topic !== 'placement' || !options.success) {
      const problem = options.success
        ? `unknown topic "${topic}"; expected "placement"`
        : z.prettifyError(options.error);
      process.stderr.write(`${problem}\n`);
      return ExitCode.usage;
    }
    return report(options.data);
  }
}
