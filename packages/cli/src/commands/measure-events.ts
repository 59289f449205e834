/** `measure-events`: measures the cost of recording a timeline event. */
import type { CAC } from 'cac';
import { z } from 'zod';

import { measureEvents } from '@sesamegrade/measure/timeline/event-cost';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';

const DEFAULT_RUNS = 5;

const optionsSchema = z.object({
  runs: z.int().min(1).max(100).default(DEFAULT_RUNS),
  json: z.boolean().default(false),
});

function measure(rawOptions: unknown): ExitStatus {
  const options = optionsSchema.safeParse(rawOptions);
  if (!options.success) {
    process.stderr.write(`${z.prettifyError(options.error)}\n`);
    return ExitCode.usage;
  }
  const costs = measureEvents(options.data.runs);
  const lines = options.data.json
    ? [JSON.stringify(costs)]
    : costs.map(
        cost =>
          `${cost.nanosecondsPerEvent.toFixed(0)} ns per event, ${cost.jsonBytes} bytes as JSON`,
      );
  process.stdout.write(`${lines.join('\n')}\n`);
  return ExitCode.success;
}

export class MeasureEventsCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command(
        'measure-events',
        'Measure the cost of recording timeline events',
      )
      .option('--runs <number>', 'Measured runs after a warm-up run', {
        default: DEFAULT_RUNS,
      })
      .option('--json', 'Print JSON')
      .action((options: unknown) => {
        run(() => Promise.resolve(measure(options)));
      });
  }
}
