/** `measure-gossip`: measures how long a configuration takes to reach every router. */
import type { CAC } from 'cac';
import { z } from 'zod';

import {
  formatPropagation,
  FLEET_SIZES,
  measurePropagation,
} from '@sesamegrade/measure/gossip/propagation-report';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';

const DEFAULT_CHANGES = 10;

const optionsSchema = z.object({
  seed: z.int().default(1),
  changes: z.int().min(1).max(1000).default(DEFAULT_CHANGES),
  json: z.boolean().default(false),
});

function measure(rawOptions: unknown): ExitStatus {
  const options = optionsSchema.safeParse(rawOptions);
  if (!options.success) {
    process.stderr.write(`${z.prettifyError(options.error)}\n`);
    return ExitCode.usage;
  }
  const { seed, changes, json } = options.data;
  const figures = measurePropagation({ seed, changes, sizes: FLEET_SIZES });
  const text = json ? JSON.stringify(figures) : formatPropagation(figures);
  process.stdout.write(`${text}\n`);
  const incomplete = figures.some(row => row.incomplete > 0);
  return incomplete ? ExitCode.failure : ExitCode.success;
}

export class MeasureGossipCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command(
        'measure-gossip',
        'Measure how fast a configuration reaches every router',
      )
      .option('--seed <number>', 'Seed of all random choices', { default: 1 })
      .option('--changes <number>', 'Changes per fleet size', {
        default: DEFAULT_CHANGES,
      })
      .option('--json', 'Print JSON')
      .action((options: unknown) => {
        run(() => Promise.resolve(measure(options)));
      });
  }
}
