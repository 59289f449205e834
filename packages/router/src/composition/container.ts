/** Builds the dependency container of one router. */
import { asClass, asFunction, asValue, createContainer } from 'awilix';
import type { AwilixContainer } from 'awilix';

import { Random } from '@sesamegrade/core/random/random';
import { EventBuffer } from '@sesamegrade/core/timeline/event-buffer';
import { HybridClock } from '@sesamegrade/core/timeline/hybrid-clock';
import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { Secrets } from '@sesamegrade/settings/load';
import type { Settings } from '@sesamegrade/settings/schema';
import { createLogger } from '../logs/logger';
import { openOutput } from '../logs/open-output';
import { Counters, createStatsd } from '../metrics/counters';
import { OperatorServer } from '../operators/operator-server';
import { OperatorToken } from '../operators/operator-token';
import { RouterStatus } from '../operators/router-status';
import { HttpPlatformClient } from '../platform-client/http-platform-client';
import type { PlatformClient } from '../platform-client/platform-client';
import { SystemTimerService } from '../process/system-timer-service';
import type { Cradle, ProcessIdentity } from './cradle';
import { registerEngineOrders } from './register-engine-orders';
import { registerFleet } from './register-fleet';
import { registerPolicies } from './register-policies';
import { registerRequests } from './register-requests';

const WEIGHTS_TIMEOUT = seconds(600);
const PLATFORM_CONNECTIONS = 16;

export function composeRouter(
  settings: Settings,
  secrets: Secrets,
  identity: ProcessIdentity,
): AwilixContainer<Cradle> {
  const container = createContainer<Cradle>({ strict: true });
  container.register({
    settings: asValue(settings),
    secrets: asValue(secrets),
    identity: asValue(identity),
    random: asValue(new Random(identity.seed)),
    timers: asFunction(() => new SystemTimerService()).singleton(),
    clock: asFunction(
      ({ timers }: Cradle) => new HybridClock(() => timers.wallTime()),
    ).singleton(),
    events: asFunction(
      ({ clock }: Cradle) =>
        new EventBuffer({
          process: settings.router.id,
          incarnation: identity.incarnation,
          clock,
        }),
    ).singleton(),
    logOutput: asFunction(() => openOutput(process.stderr)).singleton(),
    logger: asFunction(({ logOutput }: Cradle) =>
      createLogger(settings, logOutput),
    ).singleton(),
    backgroundTasks: asFunction(newBackgroundTasks).singleton(),
    statsd: asFunction(() => createStatsd(settings)).singleton(),
    counters: asClass(Counters).singleton(),
    platform: asFunction(newPlatformClient).singleton(),
    status: asClass(RouterStatus).singleton(),
    operatorServer: asFunction(newOperatorServer).singleton(),
  });
  registerFleet(container);
  registerPolicies(container);
  registerRequests(container);
  registerEngineOrders(container);
  return container;
}

function newBackgroundTasks({ logger }: Cradle): BackgroundTasks {
  return new BackgroundTasks(({ task, error }) => {
    logger.error('task failed', {
      task,
      error:
        error instanceof Error ? (error.stack ?? error.message) : String(error),
    });
  });
}

function newPlatformClient({ settings }: Cradle): PlatformClient {
  return new HttpPlatformClient({
    origin: settings.platform.url,
    timeout: milliseconds(settings.platform.timeout_ms),
    weightsTimeout: WEIGHTS_TIMEOUT,
    connections: PLATFORM_CONNECTIONS,
  });
}

function newOperatorServer(cradle: Cradle): OperatorServer {
  const { operator_host, operator_port } = cradle.settings.router;
  return new OperatorServer({
    address: { host: operator_host, port: operator_port },
    token: new OperatorToken(cradle.secrets.operatorToken),
    status: cradle.status,
    configuration: cradle.configuration,
    configurationStore: cradle.configurationStore,
    events: cradle.events,
    timers: cradle.timers,
    backgroundTasks: cradle.backgroundTasks,
  });
}
