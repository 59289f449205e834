/** `measure-limits`: compares the ways in which a fleet keeps the rate that an endpoint accepts. */
import type { CAC } from 'cac';
import { z } from 'zod';

import {
  formatLimits,
  measureLimits,
} from '@sesamegrade/measure/request-limits/limit-report';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';

const DEFAULT_SEEDS = 6;

const optionsSchema = z.object({
  seed: z.int().default(1),
  seeds: z.int().min(1).max(100).default(DEFAULT_SEEDS),
  json: z.boolean().default(false),
});

function measure(rawOptions: unknown): ExitStatus {
  const options = optionsSchema.safeParse(rawOptions);
  if (!options.success) {
    process.stderr.write(`${z.prettifyError(options.error)}\n`);
    return ExitCode.usage;
  }
  const { seed, seeds, json } = options.data;
  const rows = measureLimits({ seed, seeds });
  process.stdout.write(`${json ? JSON.stringify(rows) : formatLimits(rows)}\n`);
  return ExitCode.success;
}

export class MeasureLimitsCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command(
        'measure-limits',
        'Compare the ways in which a fleet keeps the rate that an endpoint accepts',
      )
      .option('--seed <number>', 'First seed', { default: 1 })
      .option('--seeds <number>', 'Seeds per row', { default: DEFAULT_SEEDS })
      .option('--json', 'Print JSON')
      .action((options: unknown) => {
        run(() => Promise.resolve(measure(options)));
      });
  }
}
