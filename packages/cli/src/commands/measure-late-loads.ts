/** `measure-late-loads`: measures the load of endpoints while routers see requests of others late. */
import type { CAC } from 'cac';
import { z } from 'zod';

import { measureLateLoads } from '@sesamegrade/measure/late-loads/late-loads-report';
import {
  measureStaleReports,
  ROUTER_COUNTS,
} from '@sesamegrade/measure/late-loads/stale-reports-report';
import { formatRows } from '@sesamegrade/measure/report/figures';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';

const DEFAULT_LENGTH_S = 20;

const optionsSchema = z.object({
  seed: z.int().default(1),
  length: z.int().min(1).max(600).default(DEFAULT_LENGTH_S),
  reports: z.boolean().default(false),
  routers: z.int().min(2).max(1000).optional(),
  json: z.boolean().default(false),
});

function measure(rawOptions: unknown): ExitStatus {
  const options = optionsSchema.safeParse(rawOptions);
  if (!options.success) {
    process.stderr.write(`${z.prettifyError(options.error)}\n`);
    return ExitCode.usage;
  }
  const { seed, length, json, reports, routers } = options.data;
  const routerCounts = routers === undefined ? ROUTER_COUNTS : [routers];
  const rows = reports
    ? measureStaleReports({ seed, length, routers: routerCounts })
    : measureLateLoads({ seed, length });
  process.stdout.write(`${json ? JSON.stringify(rows) : formatRows(rows)}\n`);
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
      .option('--reports', 'Compare ways to use the reports of engines')
      .option('--routers <number>', 'Number of routers, with --reports')
      .option('--json', 'Print JSON')
      .action((options: unknown) => {
        run(() => Promise.resolve(measure(options)));
      });
  }
}
