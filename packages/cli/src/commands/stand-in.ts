/** `stand-in`: runs a simulated platform, engine, service or fault proxy for tests and experiments. */
import type { CAC } from 'cac';
import { z } from 'zod';

import type { Address } from '@sesamegrade/core/types/endpoint';
import { milliseconds } from '@sesamegrade/core/types/units';
import { EngineServer } from '@sesamegrade/stand-ins/engine/engine-server';
import { FaultProxy } from '@sesamegrade/stand-ins/fault-proxy/fault-proxy';
import { ProxyControl } from '@sesamegrade/stand-ins/fault-proxy/proxy-control';
import type { HttpStandIn } from '@sesamegrade/stand-ins/http/http-stand-in';
import { PlatformServer } from '@sesamegrade/stand-ins/platform/platform-server';
import { ServiceServer } from '@sesamegrade/stand-ins/service/service-server';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';

const MS_PER_SECOND = 1000;

const text = z.union([z.string(), z.number()]).transform(String);
const number = z.coerce.number().nonnegative();
const list = text.transform(value => value.split(',').map(item => item.trim()));

const roleSchema = z.enum(['platform', 'engine', 'service', 'fault-proxy']);

const addressSchema = text
  .pipe(z.string().regex(/^[^:]+:\d+$/, 'expected HOST:PORT'))
  .transform(value => {
    const [host = '', port] = value.split(':');
    return { host, port: Number(port) };
  });

const optionsSchema = z.object({
  host: text.default('127.0.0.1'),
  port: number.int().max(65535).default(0),
  platform: text.optional(),
  vm: text.optional(),
  zone: text.optional(),
  seed: number.int().optional(),
  models: list.optional(),
  capacity: number.int().optional(),
  waitingLimit: number.int().optional(),
  tokensPerSecond: number.optional(),
  batchSlowdown: number.optional(),
  cacheTokens: number.int().optional(),
  metricsLagMs: number.optional(),
  checkFence: z.boolean().default(true),
  crashMarker: text.optional(),
  crashDownMs: number.optional(),
  service: text.optional(),
  delayMs: number.optional(),
  readsPerSecond: number.optional(),
  writesPerSecond: number.optional(),
  vmListLagMs: number.optional(),
  weightSlots: number.int().optional(),
  weightLoadMs: number.optional(),
  advertise: addressSchema.optional(),
  /** Required for a fault proxy. */
  target: addressSchema.optional(),
  controlPort: number.int().max(65535).default(0),
});

type Role = z.infer<typeof roleSchema>;
type StandInOptions = z.infer<typeof optionsSchema>;

/** A listening stand-in, and the JSON line that announces its address. */
interface RunningStandIn {
  readonly announcement: Readonly<Record<string, string | number>>;
  stop(): Promise<void>;
}

/** Returns an incarnation that is higher after each restart, if restarts are a second apart. */
function currentIncarnation(): number {
  return Math.floor(Date.now() / MS_PER_SECOND);
}

const optionalDuration = (ms: number | undefined) =>
  ms === undefined ? undefined : milliseconds(ms);

function createEngine(options: StandInOptions): EngineServer {
  return new EngineServer({
    ...options,
    listen: options,
    incarnation: currentIncarnation(),
    checksFence: options.checkFence,
    metricsLag: optionalDuration(options.metricsLagMs),
    crashDowntime: optionalDuration(options.crashDownMs),
  });
}

async function startFaultProxy(
  options: StandInOptions,
  target: Address,
): Promise<RunningStandIn> {
  const proxy = new FaultProxy({ target, listen: options });
  const address = await proxy.start();
  const control = new ProxyControl(proxy, {
    host: options.host,
    port: options.controlPort,
  });
  const { port: controlPort } = await control.start();
  return {
    announcement: { role: 'fault-proxy', ...address, controlPort },
    stop: async () => {
      await control.stop();
      await proxy.stop();
    },
  };
}

async function startHttp(
  role: Role,
  server: HttpStandIn,
): Promise<RunningStandIn> {
  const address = await server.start();
  return {
    announcement: { role, ...address },
    stop: () => server.stop(),
  };
}

function startStandIn(
  role: Role,
  options: StandInOptions,
): Promise<RunningStandIn> {
  switch (role) {
    case 'platform':
      return startHttp(
        role,
        new PlatformServer({ ...options, listen: options }),
      );
    case 'engine':
      return startHttp(role, createEngine(options));
    case 'service':
      return startHttp(
        role,
        new ServiceServer({
          ...options,
          listen: options,
          incarnation: currentIncarnation(),
        }),
      );
    case 'fault-proxy':
      return options.target
        ? startFaultProxy(options, options.target)
        : Promise.reject(new Error('fault-proxy: the target is missing'));
  }
}

/** Resolves at the first SIGTERM or SIGINT. */
function stopSignal(): Promise<void> {
  return new Promise(resolve => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.once(signal, () => {
        resolve();
      });
    }
  });
}

async function runStandIn(
  name: string,
  rawOptions: unknown,
): Promise<ExitStatus> {
  const role = roleSchema.safeParse(name);
  const options = optionsSchema.safeParse(rawOptions);
  const error = role.error ?? options.error;
  if (!role.success || !options.success) {
    process.stderr.write(`${error ? z.prettifyError(error) : ''}\n`);
    return ExitCode.usage;
  }
  if (role.data === 'fault-proxy' && !options.data.target) {
    process.stderr.write('fault-proxy: --target HOST:PORT is required\n');
    return ExitCode.usage;
  }
  const stopRequested = stopSignal();
  const running = await startStandIn(role.data, options.data);
  process.stdout.write(`${JSON.stringify(running.announcement)}\n`);
  await stopRequested;
  await running.stop();
  return ExitCode.success;
}

export class StandInCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command(
        'stand-in <role>',
        'Run a stand-in: platform, engine, service or fault-proxy',
      )
      .option('--host <host>', 'Address to listen on', { default: '127.0.0.1' })
      .option('--port <port>', 'Port to listen on, 0 for any', { default: 0 })
      .option('--platform <url>', 'Stand-in platform to register at')
      .option(
        '--advertise <host:port>',
        'Address to register instead of the listening one',
      )
      .option('--vm <id>', 'Id in the VM list')
      .option('--zone <id>', 'Availability zone')
      .option('--seed <number>', 'Seed of all random choices')
      .option('--models <names>', 'engine: models, separated by commas')
      .option(
        '--capacity <count>',
        'engine, service: maximum concurrent requests',
      )
      .option('--waiting-limit <count>', 'engine: maximum queued requests')
      .option(
        '--tokens-per-second <rate>',
        'engine: token rate of one request running alone',
      )
      .option(
        '--batch-slowdown <part>',
        'engine: relative slowdown of a step per concurrent request',
      )
      .option(
        '--cache-tokens <count>',
        'engine: size of the prefix cache, in tokens',
      )
      .option(
        '--metrics-lag-ms <ms>',
        'engine: age of the metrics that it reports',
      )
      .option(
        '--no-check-fence',
        'engine: accept orders with an outdated fencing number',
      )
      .option(
        '--crash-marker <text>',
        'engine: text in a prompt that crashes it',
      )
      .option('--crash-down-ms <ms>', 'engine: downtime after a crash')
      .option('--service <name>', 'service: its name')
      .option('--delay-ms <ms>', 'service: time before a call takes effect')
      .option('--reads-per-second <rate>', 'platform: read limit')
      .option('--writes-per-second <rate>', 'platform: write limit, in rows')
      .option(
        '--vm-list-lag-ms <ms>',
        'platform: age of the VM list that it serves',
      )
      .option(
        '--weight-slots <count>',
        'platform: maximum concurrent weight loads',
      )
      .option('--weight-load-ms <ms>', 'platform: duration of one weight load')
      .option(
        '--target <host:port>',
        'fault-proxy: address to forward to (required)',
      )
      .option(
        '--control-port <port>',
        'fault-proxy: port of its control interface',
      )
      .action((role: string, options: unknown) => {
        run(() => runStandIn(role, options));
      });
  }
}
