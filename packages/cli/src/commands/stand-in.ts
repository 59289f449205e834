/** `stand-in`: runs one stand-in of the platform, an engine, a service or a fault proxy. */
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

/** A stand-in that listens, and the line that tells where. */
interface Running {
  readonly announcement: Readonly<Record<string, string | number>>;
  stop(): Promise<void>;
}

/** Numbers a process start, so that a restarted VM has a higher one. */
function startNumber(): number {
  return Math.floor(Date.now() / MS_PER_SECOND);
}

const duration = (ms: number | undefined) =>
  ms === undefined ? undefined : milliseconds(ms);

function engine(options: StandInOptions): EngineServer {
  return new EngineServer({
    ...options,
    listen: options,
    incarnation: startNumber(),
    checksFence: options.checkFence,
    metricsLag: duration(options.metricsLagMs),
    crashDowntime: duration(options.crashDownMs),
  });
}

async function startFaultProxy(
  options: StandInOptions,
  target: Address,
): Promise<Running> {
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

async function startHttp(role: Role, server: HttpStandIn): Promise<Running> {
  const address = await server.start();
  return {
    announcement: { role, ...address },
    stop: () => server.stop(),
  };
}

function start(role: Role, options: StandInOptions): Promise<Running> {
  switch (role) {
    case 'platform':
      return startHttp(
        role,
        new PlatformServer({ ...options, listen: options }),
      );
    case 'engine':
      return startHttp(role, engine(options));
    case 'service':
      return startHttp(
        role,
        new ServiceServer({
          ...options,
          listen: options,
          incarnation: startNumber(),
        }),
      );
    case 'fault-proxy':
      return options.target
        ? startFaultProxy(options, options.target)
        : Promise.reject(new Error('the target is missing'));
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

async function runStandIn(name: string, given: unknown): Promise<ExitStatus> {
  const role = roleSchema.safeParse(name);
  const options = optionsSchema.safeParse(given);
  const error = role.error ?? options.error;
  if (!role.success || !options.success) {
    process.stderr.write(`${error ? z.prettifyError(error) : ''}\n`);
    return ExitCode.usage;
  }
  if (role.data === 'fault-proxy' && !options.data.target) {
    process.stderr.write('fault-proxy needs --target HOST:PORT\n');
    return ExitCode.usage;
  }
  const stop = stopSignal();
  const running = await start(role.data, options.data);
  process.stdout.write(`${JSON.stringify(running.announcement)}\n`);
  await stop;
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
      .option('--advertise <host:port>', 'Address to register instead')
      .option('--vm <id>', 'Name in the list of VMs')
      .option('--zone <id>', 'Availability zone')
      .option('--seed <number>', 'Seed of everything random')
      .option('--models <names>', 'engine: models, separated by commas')
      .option('--capacity <count>', 'engine, service: requests at once')
      .option('--waiting-limit <count>', 'engine: requests that may wait')
      .option('--tokens-per-second <rate>', 'engine: rate of one request')
      .option('--batch-slowdown <part>', 'engine: longer step per request')
      .option('--cache-tokens <count>', 'engine: size of the prefix cache')
      .option('--metrics-lag-ms <ms>', 'engine: how late its metrics are')
      .option('--no-check-fence', 'engine: take orders with a lower fence')
      .option('--crash-marker <text>', 'engine: text that crashes it')
      .option('--crash-down-ms <ms>', 'engine: time down after a crash')
      .option('--service <name>', 'service: its name')
      .option('--delay-ms <ms>', 'service: time before a call takes effect')
      .option('--reads-per-second <rate>', 'platform: read limit')
      .option('--writes-per-second <rate>', 'platform: write limit, in rows')
      .option('--vm-list-lag-ms <ms>', 'platform: how late its VM list is')
      .option('--weight-slots <count>', 'platform: loads of weights at once')
      .option('--weight-load-ms <ms>', 'platform: time of one load')
      .option('--target <host:port>', 'fault-proxy: where it relays to')
      .option('--control-port <port>', 'fault-proxy: port of its switch')
      .action((role: string, options: unknown) => {
        run(() => runStandIn(role, options));
      });
  }
}
