/** `load`: drives a running fleet and checks every answer. */
import { writeFileSync } from 'node:fs';

import type { CAC } from 'cac';
import { z } from 'zod';

import { renderReport } from '@sesamegrade/load/report/html-report';
import { summaryLines, renderTable } from '@sesamegrade/load/report/text-table';
import { LoadRun } from '@sesamegrade/load/run/load-run';
import { showProgress } from '@sesamegrade/load/run/progress-line';
import { violatedGuarantees } from '@sesamegrade/load/run/summary';
import type { LoadSummary } from '@sesamegrade/load/run/summary';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';
import {
  KEYS_VARIABLE,
  TOKEN_VARIABLE,
  loadOptionsSchema,
  loadPlan,
  loadTarget,
  loadTeams,
} from './load-options';
import type { LoadOptions } from './load-options';

/** Returns the exit status that a summary stands for. */
export function loadExitStatus(summary: LoadSummary): ExitStatus {
  if (violatedGuarantees(summary).length > 0) {
    return ExitCode.failure;
  }
  const unreachable =
    summary.requests > 0 && summary.unknown === summary.requests;
  return unreachable ? ExitCode.unreachable : ExitCode.success;
}

/** Prints the closing table, or the summary as JSON. */
export function printSummary(summary: LoadSummary, json: boolean): void {
  if (json) {
    const text = JSON.stringify(summary, (_, value: unknown) => value ?? null);
    process.stdout.write(`${text}\n`);
    return;
  }
  process.stdout.write(`${renderTable(summaryLines(summary))}\n`);
  for (const example of summary.examples) {
    process.stdout.write(`e.g. ${example}\n`);
  }
  const broken = violatedGuarantees(summary);
  if (broken.length > 0) {
    process.stdout.write(`broken promises: ${broken.join(', ')}\n`);
  }
}

async function runLoad(options: LoadOptions): Promise<ExitStatus> {
  const teams = loadTeams(options, process.env);
  const run = new LoadRun(
    loadPlan(options, teams),
    loadTarget(options, process.env),
  );
  const endProgress = showProgress(run, process.stderr);
  const summary = await run.run().finally(endProgress);
  if (options.report !== undefined) {
    writeFileSync(options.report, renderReport(run, summary));
  }
  printSummary(summary, options.json);
  return loadExitStatus(summary);
}

async function checkAndRun(given: unknown): Promise<ExitStatus> {
  const options = loadOptionsSchema.safeParse(given);
  if (!options.success) {
    process.stderr.write(`${z.prettifyError(options.error)}\n`);
    return ExitCode.usage;
  }
  try {
    return await runLoad(options.data);
  } catch (error) {
    if (error instanceof z.ZodError) {
      process.stderr.write(`${z.prettifyError(error)}\n`);
      return ExitCode.usage;
    }
    throw error;
  }
}

export class LoadCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command('load', 'Load a running fleet and check every answer')
      .option('--routers <urls>', 'Routers, separated by commas (required)')
      .option('--platform <url>', 'Stand-in platform, to find the endpoints')
      .option('--operators <urls>', 'Operator interfaces of the routers')
      .option(
        '--keys <pairs>',
        `TEAM=KEY,...; also from ${KEYS_VARIABLE}; operator token from ${TOKEN_VARIABLE}`,
      )
      .option('--keys-file <file>', 'File with one TEAM=KEY a line')
      .option('--shares <pairs>', 'TEAM=WEIGHT,... of the traffic')
      .option('--seconds <seconds>', 'Length of the load (default 60)')
      .option('--seed <number>', 'Seed of everything random (default 1)')
      .option('--models <names>', 'Models to ask (default drafting)')
      .option('--chats-per-second <rate>', 'Chat requests (default 40)')
      .option('--chats <count>', 'Open chats (default 200)')
      .option('--return-pause-ms <ms>', 'Mean pause of a chat (default 2000)')
      .option('--turns <count>', 'Requests of a chat (default 8)')
      .option('--max-tokens <count>', 'Tokens of each answer')
      .option('--services <names>', 'Plain services to call')
      .option('--orders-per-second <rate>', 'Calls with a key (default 10)')
      .option('--resends <part>', 'Orders sent twice (default 0.1)')
      .option('--lookups-per-second <rate>', 'Calls that only read (default 0)')
      .option('--patience-seconds <seconds>', 'Callers give up (default 30)')
      .option('--surge <surge>', 'TEAM:FACTOR:FROM:TO, in seconds')
      .option('--json', 'Print the summary as JSON')
      .option('--report <file>', 'Write a report page')
      .action((options: unknown) => {
        run(() => checkAndRun(options));
      });
  }
}
