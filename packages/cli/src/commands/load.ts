/** `load`: generates load on a running fleet and checks every response. */
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

/** Returns the exit status for the summary of a run. */
export function loadExitStatus(summary: LoadSummary): ExitStatus {
  if (violatedGuarantees(summary).length > 0) {
    return ExitCode.failure;
  }
  const unreachable =
    summary.requests > 0 && summary.unknown === summary.requests;
  return unreachable ? ExitCode.unreachable : ExitCode.success;
}

/** Prints the summary as a table or as JSON. */
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
  const violated = violatedGuarantees(summary);
  if (violated.length > 0) {
    process.stdout.write(`violated guarantees: ${violated.join(', ')}\n`);
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

async function checkAndRun(rawOptions: unknown): Promise<ExitStatus> {
  const options = loadOptionsSchema.safeParse(rawOptions);
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
      .command(
        'load',
        'Generate load on a running fleet and check every response',
      )
      .option(
        '--routers <urls>',
        'Base URLs of the routers, separated by commas (required)',
      )
      .option(
        '--platform <url>',
        'Base URL of the stand-in platform, to find the endpoints',
      )
      .option(
        '--operators <urls>',
        'Operator interfaces of the routers, separated by commas',
      )
      .option(
        '--keys <pairs>',
        `TEAM=KEY,... (default: ${KEYS_VARIABLE}); the operator token is read from ${TOKEN_VARIABLE}`,
      )
      .option('--keys-file <file>', 'File with one TEAM=KEY per line')
      .option('--shares <pairs>', 'TEAM=WEIGHT,... shares of the traffic')
      .option('--seconds <seconds>', 'Duration of the load (default 60)')
      .option('--seed <number>', 'Seed of all random choices (default 1)')
      .option('--models <names>', 'Models to request (default drafting)')
      .option('--chats-per-second <rate>', 'Chat requests (default 40)')
      .option('--chats <count>', 'Target number of open chats (default 200)')
      .option(
        '--return-pause-ms <ms>',
        'Mean pause between the requests of a chat (default 2000)',
      )
      .option('--turns <count>', 'Requests per chat (default 8)')
      .option('--max-tokens <count>', 'Maximum tokens per response')
      .option('--services <names>', 'Plain services to call')
      .option(
        '--orders-per-second <rate>',
        'Calls with an idempotency key (default 10)',
      )
      .option(
        '--resends <part>',
        'Fraction of orders that are sent twice (default 0.1)',
      )
      .option('--lookups-per-second <rate>', 'Read-only calls (default 0)')
      .option('--patience-seconds <seconds>', 'Timeout of callers (default 30)')
      .option(
        '--surge <surge>',
        'TEAM:FACTOR:FROM:TO, multiplies the load of a team from second FROM to TO',
      )
      .option('--json', 'Print the summary as JSON')
      .option('--report <file>', 'Write an HTML report to this file')
      .action((options: unknown) => {
        run(() => checkAndRun(options));
      });
  }
}
