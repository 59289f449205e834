/** `measure-late-loads`: measures the load of endpoints while routers see requests of others late. */
import type { CAC } from 'cac';
import { z } from 'zod';

import {
  formatLateLoads,
  measureLateLoads,
} from '@sesamegrade/measure/late-loads/late-loads-report';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';

const DEFAULT_LENGTH_S = 20;

const optionsSchema = z.object({
  seed: z.int().default(1),
  length: z.int().min(1).max(600).default(DEFAULT_LENGTH_S),
  json: z.boolean().default(false),
});

function measure(rawOptions: unknown): ExitStatus {
  const options = optionsSchema.safeParse(rawOptions);
  if (!options.success) {
    process.stderr.write(`${z.prettifyError(options.error)}\n`);
    return ExitCode.usage;
  }
  const { seed, length, json } = options.data;
  const rows = measureLateLoads({ seed, length });
  process.stdout.write(
    `${json ? JSON.stringify(rows) : formatLateLoads(rows)}\n`,
  );
  return ExitCode.success;
}

export class MeasureLateLoadsCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command(
        'measure-late-loads',
        'Measure the load of endpoints while routers see requests of others late',
      )
      .option('--seed <number>', 'Seed', { default: 1 })
      .option('--length <seconds>', 'Simulated time', {
        default: DEFAULT_LENGTH_S,
      })
      .option('--json', 'Print JSON')
      .action((options: unknown) => {
        run(() => Promise.resolve(measure(options)));
      });
  }
}
