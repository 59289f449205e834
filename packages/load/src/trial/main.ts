/** Entry point of `npm run trial`, the process trial; it is not part of the program `sesamegrade`. */
import { writeFileSync } from 'node:fs';

import { cac } from 'cac';
import { z } from 'zod';

import { renderReport } from '../report/html-report';
import { summaryLines, renderTable } from '../report/text-table';
import { SOURCE_PROGRAM } from './child-vm';
import { RouterSettings } from './router-settings';
import { runTrial } from './trial';
import { TRIAL_FAULTS } from './trial-fault';

const optionsSchema = z.object({
  settings: z.string().default('deploy/sellada.ini'),
  program: z.string().optional(),
  seconds: z.coerce.number().positive().default(60),
  seed: z.coerce.number().int().default(1),
  chatsPerSecond: z.coerce.number().positive().default(40),
  routers: z.coerce.number().int().min(1).default(3),
  engines: z.coerce.number().int().min(1).default(6),
  services: z.coerce.number().int().min(1).default(3),
  faults: z.string().default('kill-router,cut-engine'),
  report: z.string().optional(),
});

async function main(): Promise<number> {
  const names = TRIAL_FAULTS.map(({ name }) => name).join(', ');
  const cli = cac('trial');
  cli
    .option(
      '--settings <file>',
      'Settings file of a deployment (default deploy/sellada.ini)',
    )
    .option('--program <file>', 'Binary to run (default: run from the source)')
    .option('--seconds <seconds>', 'Duration of the load (default 60)')
    .option('--seed <number>', 'Seed of all random choices (default 1)')
    .option('--chats-per-second <rate>', 'Chat requests (default 40)')
    .option('--routers <count>', 'Routers (default 3)')
    .option('--engines <count>', 'Engines (default 6)')
    .option('--services <count>', 'Services (default 3)')
    .option(
      '--faults <names>',
      `all, none or a comma-separated list of: ${names}`,
    )
    .option('--report <file>', 'Write an HTML report to this file')
    .help();
  const { options: rawOptions } = cli.parse();
  if (rawOptions.help === true) {
    return 0;
  }
  const options = optionsSchema.parse(rawOptions);
  const selected = options.faults.split(',');
  const { run, summary, failures } = await runTrial(
    {
      ...options,
      proxies: true,
      program:
        options.program === undefined
          ? SOURCE_PROGRAM
          : { file: options.program, args: [] },
      settings: new RouterSettings(options.settings),
      faults: TRIAL_FAULTS.filter(
        ({ name }) => options.faults === 'all' || selected.includes(name),
      ),
    },
    line => process.stderr.write(`${line}\n`),
  );
  if (options.report !== undefined) {
    writeFileSync(options.report, renderReport(run, summary));
  }
  process.stdout.write(`${renderTable(summaryLines(summary))}\n`);
  for (const line of [...failures, ...summary.examples]) {
    process.stdout.write(`${line}\n`);
  }
  return failures.length === 0 ? 0 : 1;
}

process.exitCode = await main();
