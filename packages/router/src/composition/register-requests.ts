/** Registers the components that carry requests between callers, the request flow and endpoints. */
import { asClass, asFunction } from 'awilix';
import type { AwilixContainer } from 'awilix';

import { OrderManager } from '@sesamegrade/core/orders/order-manager';
import { OrderRules } from '@sesamegrade/core/orders/order-rules';
import { DEFAULT_ORDER_SETTINGS } from '@sesamegrade/core/orders/order-settings';
import { RequestFlow } from '@sesamegrade/core/requests/request-flow';
import { milliseconds } from '@sesamegrade/core/types/units';
import { CallerServer } from '../callers/caller-server';
import { RequestParser } from '../callers/request-parser';
import { TeamKeys } from '../callers/team-keys';
import { RequestDispatcher } from '../dispatch/request-dispatcher';
import { AttemptRunner } from '../endpoints/attempt-runner';
import { EndpointClient } from '../endpoints/endpoint-client';
import { StreamRelay } from '../endpoints/stream-relay';
import { StreamTags } from '../endpoints/stream-tags';
import { BufferedRelay } from '../endpoints/buffered-relay';
import { OrderCommandRunner } from '../orders/order-command-runner';
import { RouterReadiness } from '../process/router-readiness';
import type { Cradle } from './cradle';
import { processIdPrefix } from './process-id-prefix';

const PLACEMENT_WAIT = milliseconds(1500);

export function registerRequests(container: AwilixContainer<Cradle>): void {
  container.register({
    flow: asFunction(newFlow).singleton(),
    dispatcher: asFunction(
      ({ flow, timers, counters, backgroundTasks }: Cradle) =>
        new RequestDispatcher({
          flow,
          timers,
          counter: counters,
          backgroundTasks,
        }),
    ).singleton(),
    orderManager: asFunction(newOrderManager).singleton(),
    orderCommandRunner: asClass(OrderCommandRunner).singleton(),
    client: asFunction(newEndpointClient).singleton(),
    tags: asFunction(
      ({ secrets }: Cradle) => new StreamTags({ secret: secrets.peerSecret }),
    ).singleton(),
    streamRelay: asClass(StreamRelay).singleton(),
    bufferedRelay: asFunction(newBufferedRelay).singleton(),
    attemptRunner: asFunction(newAttemptRunner).singleton(),
    keys: asFunction(
      ({ settings }: Cradle) => new TeamKeys(settings.team),
    ).singleton(),
    requestParser: asClass(RequestParser).singleton(),
    readiness: asClass(RouterReadiness).singleton(),
    callerServer: asClass(CallerServer).singleton(),
  });
}

function newFlow(cradle: Cradle): RequestFlow {
  const { admission, placement, retry, events } = cradle;
  return new RequestFlow({
    admission,
    placement,
    retry,
    recorder: events,
    placementWait: PLACEMENT_WAIT,
    attemptPrefix: processIdPrefix(cradle),
  });
}

function newOrderManager(cradle: Cradle): OrderManager {
  const { routers, random, events } = cradle;
  return new OrderManager({
    router: routers.self.id,
    tokenPrefix: processIdPrefix(cradle),
    random,
    recorder: events,
    settings: DEFAULT_ORDER_SETTINGS,
    rules: new OrderRules(),
  });
}

function newEndpointClient({ settings }: Cradle): EndpointClient {
  const { limits } = settings;
  return new EndpointClient({
    connectTimeout: milliseconds(limits.connect_timeout_ms),
    firstByteTimeout: milliseconds(limits.first_byte_timeout_ms),
    stallTimeout: milliseconds(limits.stall_timeout_ms),
  });
}

function newBufferedRelay({
  settings,
  orderCommandRunner,
  backgroundTasks,
}: Cradle): BufferedRelay {
  return new BufferedRelay({
    maxResponseBytes: settings.limits.answer_bytes,
    onResponse: ({ exchange }, response) => {
      backgroundTasks.run('order-response', () =>
        orderCommandRunner.onResponse(exchange.request, response),
      );
    },
  });
}

function newAttemptRunner(cradle: Cradle): AttemptRunner {
  const { client, directory, streamRelay, bufferedRelay, timers } = cradle;
  const { settings, dispatcher } = cradle;
  return new AttemptRunner({
    client,
    directory,
    streamRelay,
    bufferedRelay,
    timers,
    backgroundTasks: cradle.backgroundTasks,
    resumeGrace: milliseconds(settings.limits.resume_grace_ms),
    post: message => {
      dispatcher.post(message);
    },
  });
}
