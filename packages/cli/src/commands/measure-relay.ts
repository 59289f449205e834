/** `measure-relay`: measures the delay that a router adds to streams, and the throughput of one router. */
import type { CAC } from 'cac';
import { z } from 'zod';

import { RelayBench } from '@sesamegrade/load/relay/relay-bench';
import type { RouteResult } from '@sesamegrade/load/relay/relay-bench';
import { OperatorClient } from '@sesamegrade/router/operators/operator-client';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';

const optionsSchema = z.object({
  engine: z.url(),
  router: z.url(),
  operator: z.url(),
  key: z.coerce.string().min(1),
  model: z.coerce.string().default('drafting'),
  streams: z.coerce.number().int().min(1).max(2000).default(20),
  tokens: z.coerce.number().int().min(1).max(10_000).default(100),
  seconds: z.coerce.number().positive().max(120).default(10),
  alone: z.boolean().default(false),
  json: z.boolean().default(false),
});

type Options = z.infer<typeof optionsSchema>;

/** Processor time that a router used during a run, and its resident memory after it. */
interface Cost {
  readonly cpuSeconds: number;
  readonly memoryBytes: number;
}

export class MeasureRelayCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command(
        'measure-relay',
        'Measure the delay that a router adds to streams',
      )
      .option(
        '--engine <url>',
        'Base URL of the engine to compare with (required)',
      )
      .option(
        '--router <url>',
        "Base URL of the router's caller interface (required)",
      )
      .option(
        '--operator <url>',
        "Base URL of the router's operator interface (required)",
      )
      .option('--key <key>', "A team's key (required)")
      .option('--model <name>', 'Model to request (default drafting)')
      .option(
        '--streams <count>',
        'Concurrent streams on each route (default 20)',
      )
      .option('--tokens <count>', 'Tokens per stream (default 100)')
      .option('--seconds <seconds>', 'Duration of the run (default 10)')
      .option(
        '--alone',
        'Only through the router, to measure its maximum throughput',
      )
      .option('--json', 'Print the result as JSON')
      .action((options: unknown) => {
        run(() => measure(options));
      });
  }
}

async function measure(rawOptions: unknown): Promise<ExitStatus> {
  const parsed = optionsSchema.safeParse(rawOptions);
  if (!parsed.success) {
    process.stderr.write(`${z.prettifyError(parsed.error)}\n`);
    return ExitCode.usage;
  }
  const options = parsed.data;
  const bench = new RelayBench({
    direct: { url: options.engine, headers: {} },
    routed: {
      url: options.router,
      headers: { authorization: `Bearer ${options.key}` },
    },
    model: options.model,
    concurrency: options.streams,
    tokens: options.tokens,
    seconds: options.seconds,
  });
  const before = await readCost(options);
  const results = options.alone
    ? { routed: await bench.saturate() }
    : await bench.compare();
  const after = await readCost(options);
  await bench.close();
  const cpuSeconds = after.cpuSeconds - before.cpuSeconds;
  print(options, results, { ...after, cpuSeconds });
  return ExitCode.success;
}

async function readCost({ operator }: Options): Promise<Cost> {
  const token = process.env.SESAMEGRADE_OPERATOR_TOKEN ?? '';
  const status = await new OperatorClient({ origin: operator, token }).status();
  if (!status.ok) {
    throw new Error(
      `cannot read the router's status from ${operator}: ${JSON.stringify(status.failure)}`,
    );
  }
  return status.value.process;
}

function print(
  { json }: Options,
  results: Readonly<Record<string, RouteResult>>,
  cost: Cost,
): void {
  if (json) {
    process.stdout.write(`${JSON.stringify({ results, cost })}\n`);
    return;
  }
  for (const [route, result] of Object.entries(results)) {
    const { firstToken, tokenGap, events, eventsPerSecond } = result;
    process.stdout.write(
      `${route.padEnd(7)} ${events} events, ${eventsPerSecond.toFixed(0)}/s, ` +
        `first token ${formatPercentiles(firstToken)}, gap ${formatPercentiles(tokenGap)}\n`,
    );
  }
  const events = results.routed?.events ?? 0;
  const micros = (cost.cpuSeconds * 1e6) / Math.max(1, events);
  process.stdout.write(
    `router  ${cost.cpuSeconds.toFixed(2)} CPU s, ` +
      `${micros.toFixed(1)} us an event, ` +
      `${(cost.memoryBytes / 2 ** 20).toFixed(0)} MiB resident\n`,
  );
}

function formatPercentiles({ p50, p95, p99 }: RouteResult['tokenGap']): string {
  return `${[p50, p95, p99].map(value => value.toFixed(2)).join(' / ')} ms`;
}
