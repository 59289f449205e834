/** `measure-peers`: measures the cost of the connections between routers. */
import type { CAC } from 'cac';
import { z } from 'zod';

import {
  carrierSizes,
  formatPeerCosts,
  measurePeers,
} from '@sesamegrade/measure/peers/peer-cost';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';

const FLEET_SIZES = [3, 9, 17, 25];
const ENTRY_LENGTH = 80;
const DEFAULT_SECONDS = 10;

const optionsSchema = z.object({
  seed: z.int().default(1),
  seconds: z.number().min(1).max(600).default(DEFAULT_SECONDS),
  json: z.boolean().default(false),
});

async function measure(rawOptions: unknown): Promise<ExitStatus> {
  const options = optionsSchema.safeParse(rawOptions);
  if (!options.success) {
    process.stderr.write(`${z.prettifyError(options.error)}\n`);
    return ExitCode.usage;
  }
  const { seed, seconds, json } = options.data;
  const costs = await measurePeers({ seed, seconds, sizes: FLEET_SIZES });
  const sizes = carrierSizes(ENTRY_LENGTH);
  const text = json
    ? JSON.stringify({ costs, sizes })
    : formatPeerCosts(costs, sizes);
  process.stdout.write(`${text}\n`);
  return ExitCode.success;
}

export class MeasurePeersCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command(
        'measure-peers',
        'Measure the cost of the connections between routers',
      )
      .option('--seed <number>', 'Seed of all random choices', { default: 1 })
      .option('--seconds <number>', 'Duration per fleet size', {
        default: DEFAULT_SECONDS,
      })
      .option('--json', 'Print JSON')
      .action((options: unknown) => {
        run(() => measure(options));
      });
  }
}
