/** `measure-orders`: compares ways to record orders under the write limit of the table. */
import type { CAC } from 'cac';
import { z } from 'zod';

import { measureRecording } from '@sesamegrade/measure/orders/recording-report';
import { formatRows } from '@sesamegrade/measure/report/figures';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';

const optionsSchema = z.object({
  seed: z.coerce.number().int().min(0).max(0x7fffffff).default(1),
  json: z.boolean().default(false),
});

function measure(rawOptions: unknown): ExitStatus {
  const parsed = optionsSchema.safeParse(rawOptions);
  if (!parsed.success) {
    process.stderr.write(`${z.prettifyError(parsed.error)}\n`);
    return ExitCode.usage;
  }
  const rows = measureRecording(parsed.data.seed);
  const text = parsed.data.json ? JSON.stringify(rows) : formatRows(rows);
  process.stdout.write(`${text}\n`);
  return ExitCode.success;
}

export class MeasureOrdersCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command('measure-orders', 'Compare ways to record orders in the table')
      .option('--seed <number>', 'Seed of the measurement', { default: 1 })
      .option('--json', 'Print JSON')
      .action((options: unknown) => {
        run(() => Promise.resolve(measure(options)));
      });
  }
}
