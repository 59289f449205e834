/** `slopes`: measures how the costs of a router grow with its load, for docs/CAPACITY.md. */
import type { CAC } from 'cac';
import { z } from 'zod';

import { formatRows, rounded } from '@sesamegrade/measure/report/figures';
import { memorySlopes } from '@sesamegrade/measure/slopes/memory-slopes';
import { measureSlope } from '@sesamegrade/measure/slopes/slope';
import type { SlopeResult } from '@sesamegrade/measure/slopes/slope';
import { timeSlopes } from '@sesamegrade/measure/slopes/time-slopes';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';

const optionsSchema = z.object({
  seed: z.coerce.number().int().nonnegative().default(1),
  runs: z.coerce.number().int().min(1).max(20).default(5),
  json: z.boolean().default(false),
});

export class SlopesCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command('slopes', "Measure how a router's costs grow")
      .option('--seed <number>', 'Seed of all random choices (default 1)')
      .option('--runs <count>', 'Runs of each measurement (default 5)')
      .option('--json', 'Print the results as JSON')
      .action((options: unknown) => {
        run(() => Promise.resolve(measure(options)));
      });
  }
}

function measure(rawOptions: unknown): ExitStatus {
  const options = optionsSchema.safeParse(rawOptions);
  if (!options.success) {
    process.stderr.write(`${z.prettifyError(options.error)}\n`);
    return ExitCode.usage;
  }
  const { seed, runs, json } = options.data;
  const slopes = [...memorySlopes(), ...timeSlopes()];
  const results = slopes.map(slope => measureSlope(slope, runs, seed));
  const text = json ? JSON.stringify(results) : formatRows(results.map(toRow));
  process.stdout.write(`${text}\n`);
  return ExitCode.success;
}

function toRow(result: SlopeResult): Record<string, string | number> {
  const [min, max] = result.spread;
  return {
    cost: result.name,
    role: result.role,
    unit: result.unit,
    'per item': rounded(result.perItem, 4),
    least: rounded(min, 4),
    greatest: rounded(max, 4),
    sizes: result.sizes.join(' '),
    target: result.target,
    'at target': Math.round(result.atTarget),
  };
}
