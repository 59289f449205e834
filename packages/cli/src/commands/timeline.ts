/** `timeline`: merges the events of several routers into one order. */
import { writeFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';

import type { CAC } from 'cac';
import { z } from 'zod';

import type { EventFilter } from '@sesamegrade/core/timeline/event-page';
import type { MergedEvent } from '@sesamegrade/core/timeline/merged-timeline';
import { timelinePage } from '@sesamegrade/core/timeline/timeline-page';
import { eventLine, lostLine } from '@sesamegrade/core/timeline/timeline-text';
import type { OperatorClient } from '@sesamegrade/router/operators/operator-client';
import { TimelineReader } from '@sesamegrade/router/timeline/timeline-reader';
import type { FailedSource } from '@sesamegrade/router/timeline/timeline-reader';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';
import {
  checkOptions,
  createClient,
  printError,
  DEFAULT_TOKEN_ENV,
  print,
  reportFailure,
} from './operator-options';

const FOLLOW_PERIOD_MS = 500;
const UNIT_MS: Readonly<Record<string, number>> = {
  s: 1000,
  m: 60_000,
  h: 3_600_000,
};

const text = z.union([z.string(), z.number()]).transform(String);

const sinceSchema = text.transform((value, context) => {
  const relative = /^(\d+)([smh])$/.exec(value);
  const [, amount, unit] = relative ?? [];
  const timeMs =
    amount && unit
      ? Date.now() - Number(amount) * (UNIT_MS[unit] ?? 0)
      : Date.parse(value);
  if (Number.isNaN(timeMs)) {
    context.addIssue(
      'expected an age such as 10m or a time such as 2026-01-31T12:00:00Z',
    );
    return z.NEVER;
  }
  return timeMs;
});

const timelineSchema = z.object({
  routers: z.string().transform(value => value.split(',')),
  tokenEnv: z.string().default(DEFAULT_TOKEN_ENV),
  request: text.optional(),
  endpoint: text.optional(),
  team: text.optional(),
  router: text.optional(),
  lease: text.optional(),
  configuration: z.number().optional(),
  kind: text.optional(),
  since: sinceSchema.optional(),
  follow: z.boolean().default(false),
  format: z.enum(['text', 'json', 'html']).default('text'),
  output: z.string().optional(),
});

type TimelineOptions = z.infer<typeof timelineSchema>;

function toEventFilter(options: TimelineOptions): EventFilter {
  const { request, endpoint, team, router, lease, configuration } = options;
  const { kind, since } = options;
  return {
    ...(request !== undefined && { request }),
    ...(endpoint !== undefined && { endpoint }),
    ...(team !== undefined && { team }),
    ...(router !== undefined && { router }),
    ...(lease !== undefined && { lease }),
    ...(configuration !== undefined && { configuration }),
    ...(kind !== undefined && { kind }),
    ...(since !== undefined && { since }),
  };
}

function createClients(
  options: TimelineOptions,
): ReadonlyMap<string, OperatorClient> | undefined {
  const clients = new Map<string, OperatorClient>();
  for (const origin of options.routers) {
    const client = createClient(origin, options.tokenEnv);
    if (!client) {
      return undefined;
    }
    clients.set(origin, client);
  }
  return clients;
}

function formatEvents(events: readonly MergedEvent[], json: boolean): string[] {
  if (json) {
    return events.map(event => JSON.stringify(event));
  }
  const width = Math.max(0, ...events.map(event => event.process.length));
  return events.map(event => eventLine(event, width));
}

async function writeOutput(content: string, output?: string): Promise<void> {
  if (output === undefined) {
    process.stdout.write(content);
    return;
  }
  await writeFile(output, content);
}

function reportSilentSources(silent: readonly FailedSource[]): ExitStatus {
  let status: ExitStatus = ExitCode.success;
  for (const { source, failure } of silent) {
    printError(`${source}:`);
    status = reportFailure(failure);
  }
  return status;
}

async function printOnce(
  reader: TimelineReader,
  options: TimelineOptions,
): Promise<ExitStatus> {
  const silent = await reader.read();
  const events = reader.takeEvents();
  const lost = reader.lost();
  const body =
    options.format === 'html'
      ? timelinePage(events, lost)
      : formatEvents(events, options.format === 'json')
          .map(line => `${line}\n`)
          .join('');
  await writeOutput(body, options.output);
  for (const entry of lost) {
    printError(lostLine(entry));
  }
  return reportSilentSources(silent);
}

/** Prints events as they are recorded until the process ends; reports each source's failure once until it changes. */
async function followEvents(
  reader: TimelineReader,
  options: TimelineOptions,
): Promise<ExitStatus> {
  const reported = new Map<string, string>();
  for (;;) {
    for (const { source, failure } of await reader.read()) {
      if (reported.get(source) !== failure.kind) {
        reported.set(source, failure.kind);
        printError(`${source}: ${failure.kind}`);
      }
    }
    formatEvents(reader.takeEvents(), options.format === 'json').forEach(print);
    for (const entry of reader.lost()) {
      const line = lostLine(entry);
      if (reported.get(entry.process) !== line) {
        reported.set(entry.process, line);
        printError(line);
      }
    }
    await sleep(FOLLOW_PERIOD_MS);
  }
}

function readTimeline(rawOptions: unknown): Promise<ExitStatus> {
  const options = checkOptions(timelineSchema, rawOptions);
  const clients = options && createClients(options);
  if (!clients) {
    return Promise.resolve(ExitCode.usage);
  }
  const reader = new TimelineReader({
    clients,
    filter: toEventFilter(options),
  });
  if (!options.follow) {
    return printOnce(reader, options);
  }
  if (options.format === 'html' || options.output !== undefined) {
    printError(
      '--follow supports neither --format html nor --output: it prints text or JSON',
    );
    return Promise.resolve(ExitCode.usage);
  }
  return followEvents(reader, options);
}

export class TimelineCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command('timeline', 'Merge the events of several routers')
      .option(
        '--routers <urls>',
        'Operator interfaces of the routers, separated by commas (required)',
      )
      .option(
        '--token-env <name>',
        'Environment variable with the operator token',
        {
          default: DEFAULT_TOKEN_ENV,
        },
      )
      .option('--request <id>', 'Only events of this request')
      .option('--endpoint <id>', 'Only events of this endpoint')
      .option('--team <id>', 'Only events of this team')
      .option('--router <id>', 'Only events about this router')
      .option('--lease <id>', 'Only events of this lease')
      .option(
        '--configuration <version>',
        'Only events of this configuration version',
      )
      .option('--kind <kind>', 'Only events of this kind')
      .option(
        '--since <time>',
        'Only events since a time, or an age such as 10m',
      )
      .option('--follow', 'Keep printing new events')
      .option('--format <format>', 'text, json or html', { default: 'text' })
      .option('--output <file>', 'Write to this file instead of the terminal')
      .action((options: unknown) => {
        run(() => readTimeline(options));
      });
  }
}
