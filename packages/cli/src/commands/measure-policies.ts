/** `measure-policies`: seeded measurements of the load and fault handling policies. */
import type { CAC } from 'cac';
import { z } from 'zod';

import { measureFairness } from '@sesamegrade/measure/fairness/fairness';
import { measureBrownOut } from '@sesamegrade/measure/brown-out/brown-out';
import { measureOutliers } from '@sesamegrade/measure/outliers/outliers';
import { measurePoison } from '@sesamegrade/measure/poison/poison';
import { formatRows } from '@sesamegrade/measure/report/figures';
import type { FigureRow } from '@sesamegrade/measure/report/figures';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';

const EXPERIMENTS: Readonly<Record<string, (seed: number) => FigureRow[]>> = {
  fairness: measureFairness,
  'brown-out': measureBrownOut,
  poison: measurePoison,
  outliers: measureOutliers,
};

const optionsSchema = z.object({
  seed: z.coerce.number().int().min(0).max(0x7fffffff).default(1),
  json: z.boolean().default(false),
});

function measure(name: string, options: unknown): ExitStatus {
  const experiment = Object.hasOwn(EXPERIMENTS, name)
    ? EXPERIMENTS[name]
    : undefined;
  const parsed = optionsSchema.safeParse(options);
  if (!experiment) {
    const known = Object.keys(EXPERIMENTS).join(', ');
    process.stderr.write(
      `unknown experiment "${name}"; expected one of: ${known}\n`,
    );
    return ExitCode.usage;
  }
  if (!parsed.success) {
    process.stderr.write(`${z.prettifyError(parsed.error)}\n`);
    return ExitCode.usage;
  }
  const rows = experiment(parsed.data.seed);
  const text = parsed.data.json ? JSON.stringify(rows) : formatRows(rows);
  process.stdout.write(`${text}\n`);
  return ExitCode.success;
}

export class MeasurePoliciesCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command(
        'measure-policies <experiment>',
        `Measure one of: ${Object.keys(EXPERIMENTS).join(', ')}`,
      )
      .option('--seed <number>', 'Seed of the measurement', { default: 1 })
      .option('--json', 'Print JSON')
      .action((experiment: string, options: unknown) => {
        run(() => Promise.resolve(measure(experiment, options)));
      });
  }
}
