/** Entry point of `npm run relay-cost`, which measures the cost that a router adds to streams. */
import { cac } from 'cac';
import { z } from 'zod';

import { latencyLines, renderTable } from '../report/text-table';
import type { LoadSummary } from '../run/summary';
import { SOURCE_PROGRAM } from './child-vm';
import { measureRelayCost } from './relay-cost';
import { RouterSettings } from './router-settings';

/** Makes the engine fast enough never to be the bottleneck. */
const ENGINE_FLAGS = {
  'tokens-per-second': 100,
  'batch-slowdown': 0,
  capacity: 1000,
};

const optionsSchema = z.object({
  settings: z.string().default('deploy/sellada.ini'),
  seconds: z.coerce.number().positive().default(20),
  seed: z.coerce.number().int().default(1),
  chatsPerSecond: z.coerce.number().positive().default(5),
  answerTokens: z.coerce.number().int().min(2).default(100),
});

function print(title: string, summary: LoadSummary): void {
  const lines = [
    { label: 'ok / requests', value: `${summary.ok} / ${summary.requests}` },
    ...latencyLines(summary),
  ];
  process.stdout.write(`${title}\n${renderTable(lines)}\n\n`);
}

const cli = cac('relay-cost');
cli
  .option(
    '--settings <file>',
    'Settings file of a deployment (default deploy/sellada.ini)',
  )
  .option('--seconds <seconds>', 'Duration of the load (default 20)')
  .option('--seed <number>', 'Seed of all random choices (default 1)')
  .option(
    '--chats-per-second <rate>',
    'Chat requests on each route (default 5)',
  )
  .option('--answer-tokens <count>', 'Tokens per response (default 100)')
  .help();
const { options: rawOptions } = cli.parse();
if (rawOptions.help !== true) {
  const options = optionsSchema.parse(rawOptions);
  const cost = await measureRelayCost({
    ...options,
    program: SOURCE_PROGRAM,
    settings: new RouterSettings(options.settings),
    routers: 1,
    engines: 1,
    services: 0,
    proxies: false,
    engineFlags: ENGINE_FLAGS,
  });
  print('direct', cost.direct);
  print('through a router', cost.relayed);
  const { relayedTokens, routerCpuSeconds } = cost;
  const tokensPerSecond = Math.round(relayedTokens / routerCpuSeconds);
  process.stdout.write(
    `${relayedTokens} tokens in ${routerCpuSeconds.toFixed(2)} s of the router's processor time: ${tokensPerSecond} tokens per second and core\n`,
  );
}
