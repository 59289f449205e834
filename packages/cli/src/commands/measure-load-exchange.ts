/** `measure-load-exchange`: measures what it costs routers to know the load of endpoints. */
import type { CAC } from 'cac';
import { z } from 'zod';

import {
  EXCHANGE_FLEET_SIZES,
  formatExchange,
  measureExchange,
} from '@sesamegrade/measure/load-exchange/exchange-report';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';

const DEFAULT_SECONDS = 10;

const optionsSchema = z.object({
  seed: z.int().default(1),
  seconds: z.int().min(1).max(600).default(DEFAULT_SECONDS),
  json: z.boolean().default(false),
});

function measure(rawOptions: unknown): ExitStatus {
  const options = optionsSchema.safeParse(rawOptions);
  if (!options.success) {
    process.stderr.write(`${z.prettifyError(options.error)}\n`);
    return ExitCode.usage;
  }
  const { seed, seconds, json } = options.data;
  const rows = measureExchange({ seed, seconds, sizes: EXCHANGE_FLEET_SIZES });
  process.stdout.write(
    `${json ? JSON.stringify(rows) : formatExchange(rows)}\n`,
  );
  return ExitCode.success;
}

export class MeasureLoadExchangeCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command(
        'measure-load-exchange',
        'Measure the messages and bytes by which routers know the load of endpoints',
      )
      .option('--seed <number>', 'Seed of all random choices', { default: 1 })
      .option('--seconds <number>', 'Simulated seconds per fleet', {
        default: DEFAULT_SECONDS,
      })
      .option('--json', 'Print JSON')
      .action((options: unknown) => {
        run(() => Promise.resolve(measure(options)));
      });
  }
}
