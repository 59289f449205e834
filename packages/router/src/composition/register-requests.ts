/** Parts that carry requests between callers, decisions and endpoints. */
import { asClass, asFunction } from 'awilix';
import type { AwilixContainer } from 'awilix';

import { OrderManager } from '@sesamegrade/core/orders/order-manager';
import { OrderRules } from '@sesamegrade/core/orders/order-rules';
import { DEFAULT_ORDER_SETTINGS } from '@sesamegrade/core/orders/order-settings';
import { RequestFlow } from '@sesamegrade/core/requests/request-flow';
import { milliseconds } from '@sesamegrade/core/types/units';
import { CallerServer } from '../callers/caller-server';
import { IntakeReader } from '../callers/intake';
import { TeamKeys } from '../callers/team-keys';
import { RequestDispatcher } from '../dispatch/request-dispatcher';
import { AttemptRunner } from '../endpoints/attempt-runner';
import { EndpointClient } from '../endpoints/endpoint-client';
import { StreamRelay } from '../endpoints/stream-relay';
import { StreamTags } from '../endpoints/stream-tags';
import { WholeRelay } from '../endpoints/whole-relay';
import { StoreOrderDesk } from '../orders/store-order-desk';
import { RouterReadiness } from '../process/router-readiness';
import type { Cradle } from './cradle';
import { startPrefix } from './start-prefix';

const PLACEMENT_WAIT = milliseconds(1500);

export function registerRequests(container: AwilixContainer<Cradle>): void {
  container.register({
    flow: asFunction(newFlow).singleton(),
    dispatcher: asFunction(
      ({ flow, timers, counters }: Cradle) =>
        new RequestDispatcher({ flow, timers, counter: counters }),
    ).singleton(),
    orderBook: asFunction(newOrderBook).singleton(),
    orderDesk: asClass(StoreOrderDesk).singleton(),
    client: asFunction(newClient).singleton(),
    tags: asFunction(
      ({ secrets }: Cradle) => new StreamTags({ secret: secrets.peerSecret }),
    ).singleton(),
    streamRelay: asClass(StreamRelay).singleton(),
    wholeRelay: asFunction(newWholeRelay).singleton(),
    runner: asFunction(newRunner).singleton(),
    keys: asFunction(
      ({ settings }: Cradle) => new TeamKeys(settings.team),
    ).singleton(),
    intake: asClass(IntakeReader).singleton(),
    readiness: asClass(RouterReadiness).singleton(),
    callerServer: asClass(CallerServer).singleton(),
  });
}

function newFlow(cradle: Cradle): RequestFlow {
  const { admission, placing, retrying, events } = cradle;
  return new RequestFlow({
    admission,
    placement: placing,
    retry: retrying,
    recorder: events,
    placementWait: PLACEMENT_WAIT,
    attemptPrefix: startPrefix(cradle),
  });
}

function newOrderBook(cradle: Cradle): OrderManager {
  const { routers, random, events } = cradle;
  return new OrderManager({
    router: routers.self.id,
    tokenPrefix: startPrefix(cradle),
    random,
    recorder: events,
    settings: DEFAULT_ORDER_SETTINGS,
    rules: new OrderRules(),
  });
}

function newClient({ settings }: Cradle): EndpointClient {
  const { limits } = settings;
  return new EndpointClient({
    connectTimeout: milliseconds(limits.connect_timeout_ms),
    firstByteTimeout: milliseconds(limits.first_byte_timeout_ms),
    stallTimeout: milliseconds(limits.stall_timeout_ms),
  });
}

function newWholeRelay({ settings, orderDesk }: Cradle): WholeRelay {
  return new WholeRelay({
    answerBytes: settings.limits.answer_bytes,
    onAnswer: ({ exchange }, answer) => {
      void orderDesk.answered(exchange.request, answer);
    },
  });
}

function newRunner(cradle: Cradle): AttemptRunner {
  const { client, directory, streamRelay, wholeRelay, timers } = cradle;
  const { settings, dispatcher } = cradle;
  return new AttemptRunner({
    client,
    directory,
    streamRelay,
    wholeRelay,
    timers,
    resumeGrace: milliseconds(settings.limits.resume_grace_ms),
    post: message => {
      dispatcher.post(message);
    },
  });
}
