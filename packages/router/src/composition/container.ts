/** Composes one router from its settings. */
import { asClass, asFunction, asValue, createContainer } from 'awilix';
import type { AwilixContainer } from 'awilix';
import type { StatsD } from 'hot-shots';
import type { Logger } from 'winston';

import { defaultAdmission } from '@sesamegrade/core/limits/admission';
import { DemandTable } from '@sesamegrade/core/limits/demand-table';
import type { TeamPolicy } from '@sesamegrade/core/limits/team-policy';
import { LoadView } from '@sesamegrade/core/loads/load-view';
import { EndpointTable } from '@sesamegrade/core/membership/endpoint-table';
import { RouterTable } from '@sesamegrade/core/membership/router-table';
import { OrderBook } from '@sesamegrade/core/orders/order-book';
import { OrderRules } from '@sesamegrade/core/orders/order-rules';
import { defaultOrderSettings } from '@sesamegrade/core/orders/order-settings';
import { AveragedHealthDetector } from '@sesamegrade/core/outliers/averaged-health-detector';
import type { OutlierDetector } from '@sesamegrade/core/outliers/outlier-detector';
import { LastPlaces } from '@sesamegrade/core/placement/last-places';
import type { Placement } from '@sesamegrade/core/placement/placement';
import { ReturningPlacement } from '@sesamegrade/core/placement/returning-placement';
import { BoundedRetrying } from '@sesamegrade/core/policies/bounded-retrying';
import { CrashWatch } from '@sesamegrade/core/policies/crash-watch';
import { EndpointPlacing } from '@sesamegrade/core/policies/endpoint-placing';
import { EndpointPools } from '@sesamegrade/core/policies/endpoint-pools';
import { HealthWatch } from '@sesamegrade/core/policies/health-watch';
import { PoolAdmission } from '@sesamegrade/core/policies/pool-admission';
import { SuspectRegistry } from '@sesamegrade/core/poison/suspect-registry';
import { Random } from '@sesamegrade/core/random/random';
import { RequestFlow } from '@sesamegrade/core/requests/request-flow';
import { Backoff } from '@sesamegrade/core/retries/backoff';
import { RetryBudget } from '@sesamegrade/core/retries/retry-budget';
import { defaultMaxAttempts } from '@sesamegrade/core/retries/retry-decision';
import { SilentRecorder } from '@sesamegrade/core/timeline/event';
import type { EventRecorder } from '@sesamegrade/core/timeline/event';
import { incarnation, routerId, zoneId } from '@sesamegrade/core/types/ids';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { Secrets } from '@sesamegrade/settings/load';
import type { Settings } from '@sesamegrade/settings/schema';
import { CallerServer } from '../callers/caller-server';
import { IntakeReader } from '../callers/intake';
import { TeamKeys } from '../callers/team-keys';
import { RequestDispatcher } from '../dispatch/request-dispatcher';
import { AttemptRunner } from '../endpoints/attempt-runner';
import { EndpointClient } from '../endpoints/endpoint-client';
import { EndpointProber } from '../endpoints/endpoint-prober';
import { StreamRelay } from '../endpoints/stream-relay';
import { StreamTags } from '../endpoints/stream-tags';
import { WholeRelay } from '../endpoints/whole-relay';
import { FleetDirectory } from '../fleet/fleet-directory';
import { VmListFeed } from '../fleet/vm-list-feed';
import { createLogger } from '../logs/logger';
import { Counters, createStatsd } from '../metrics/counters';
import { StoreOrderDesk } from '../orders/store-order-desk';
import { HttpPlatform } from '../platform/http-platform';
import type { Platform } from '../platform/platform';
import { RouterReadiness } from '../process/router-readiness';
import { SystemTimerService } from '../process/system-timer-service';
import { settingsTeamPolicy } from './settings-team-policy';

/** Everything that a router is made of, by name. */
export interface Cradle {
  readonly settings: Settings;
  readonly secrets: Secrets;
  readonly timers: SystemTimerService;
  readonly random: Random;
  readonly recorder: EventRecorder;
  readonly logger: Logger;
  readonly statsd: StatsD;
  readonly counters: Counters;
  readonly platform: Platform;
  readonly routers: RouterTable;
  readonly endpoints: EndpointTable;
  readonly loads: LoadView;
  readonly places: LastPlaces;
  readonly placement: Placement;
  readonly detector: OutlierDetector;
  readonly healthWatch: HealthWatch;
  readonly registry: SuspectRegistry;
  readonly crashes: CrashWatch;
  readonly prober: EndpointProber;
  readonly pools: EndpointPools;
  readonly demands: DemandTable;
  readonly policy: TeamPolicy;
  readonly admission: PoolAdmission;
  readonly placing: EndpointPlacing;
  readonly retrying: BoundedRetrying;
  readonly flow: RequestFlow;
  readonly dispatcher: RequestDispatcher;
  readonly orderBook: OrderBook;
  readonly orderDesk: StoreOrderDesk;
  readonly client: EndpointClient;
  readonly tags: StreamTags;
  readonly directory: FleetDirectory;
  readonly streamRelay: StreamRelay;
  readonly wholeRelay: WholeRelay;
  readonly runner: AttemptRunner;
  readonly keys: TeamKeys;
  readonly intake: IntakeReader;
  readonly feed: VmListFeed;
  readonly readiness: RouterReadiness;
  readonly callerServer: CallerServer;
}

/** What differs between processes that have the same settings. */
export interface ProcessIdentity {
  /** Higher at every start of the same router. */
  readonly incarnation: number;
  readonly seed: number;
}

const PLACEMENT_WAIT = milliseconds(1500);
const RAMP = seconds(30);
const MAX_RESUMPTIONS = 5;
const WEIGHTS_TIMEOUT = seconds(600);
const PLATFORM_CONNECTIONS = 16;

/** Weight of an even load against cache reuse. */
const SKEW_WEIGHTS = { skew: 1, reuse: 0 } as const;

export function composeRouter(
  settings: Settings,
  secrets: Secrets,
  identity: ProcessIdentity,
): AwilixContainer<Cradle> {
  const container = createContainer<Cradle>({ strict: true });
  container.register({
    settings: asValue(settings),
    secrets: asValue(secrets),
    random: asValue(new Random(identity.seed)),
    timers: asClass(SystemTimerService).singleton(),
    recorder: asClass(SilentRecorder).singleton(),
    logger: asFunction(() => createLogger(settings)).singleton(),
    statsd: asFunction(() => createStatsd(settings)).singleton(),
    counters: asClass(Counters).singleton(),
    platform: asFunction(newPlatform).singleton(),
    callerServer: asClass(CallerServer).singleton(),
    readiness: asClass(RouterReadiness).singleton(),
  });
  registerFleet(container, identity);
  registerPolicies(container);
  registerRequests(container, identity);
  return container;
}

function newPlatform({ settings }: Cradle): Platform {
  return new HttpPlatform({
    origin: settings.platform.url,
    timeout: milliseconds(settings.platform.timeout_ms),
    weightsTimeout: WEIGHTS_TIMEOUT,
    connections: PLATFORM_CONNECTIONS,
  });
}

function registerFleet(
  container: AwilixContainer<Cradle>,
  identity: ProcessIdentity,
): void {
  const { router } = container.cradle.settings;
  const self = {
    id: routerId(router.id),
    incarnation: incarnation(identity.incarnation),
    zone: zoneId(router.zone),
    address: { host: router.host, port: router.peer_port },
  };
  container.register({
    routers: asFunction(
      ({ recorder }: Cradle) => new RouterTable({ self, recorder }),
    ).singleton(),
    endpoints: asFunction(
      ({ recorder }: Cradle) => new EndpointTable({ recorder }),
    ).singleton(),
    loads: asFunction(() => new LoadView()).singleton(),
    places: asFunction(() => new LastPlaces()).singleton(),
    detector: asFunction(() => new AveragedHealthDetector()).singleton(),
    healthWatch: asClass(HealthWatch).singleton(),
    registry: asFunction(() => new SuspectRegistry(self.id)).singleton(),
    crashes: asClass(CrashWatch).singleton(),
    prober: asClass(EndpointProber).singleton(),
    directory: asClass(FleetDirectory).singleton(),
    feed: asClass(VmListFeed).singleton(),
  });
}

function registerPolicies(container: AwilixContainer<Cradle>): void {
  container.register({
    placement: asFunction(
      ({ settings }: Cradle) =>
        new ReturningPlacement({
          bound: settings.placement.bound,
          skewWeight: SKEW_WEIGHTS[settings.placement.weighing],
        }),
    ).singleton(),
    pools: asFunction(
      ({ endpoints, loads, detector }: Cradle) =>
        new EndpointPools({
          endpoints,
          loads,
          ramp: RAMP,
          isEjected: endpoint => !detector.accepts(endpoint),
        }),
    ).singleton(),
    demands: asFunction(() => new DemandTable()).singleton(),
    policy: asFunction(({ settings }: Cradle) =>
      settingsTeamPolicy(settings),
    ).singleton(),
    admission: asFunction(
      ({ pools, demands, policy, random }: Cradle) =>
        new PoolAdmission({
          pools,
          demands,
          policy,
          random,
          admission: defaultAdmission,
        }),
    ).singleton(),
    placing: asFunction(
      (cradle: Cradle) =>
        new EndpointPlacing({
          pools: cradle.pools,
          placement: cradle.placement,
          loads: cradle.loads,
          places: cradle.places,
          endpoints: cradle.endpoints,
          crashes: cradle.crashes,
          suspects: cradle.registry,
          observers: [cradle.healthWatch, cradle.crashes],
        }),
    ).singleton(),
    retrying: asFunction(
      ({ random }: Cradle) =>
        new BoundedRetrying({
          budget: new RetryBudget(),
          backoff: new Backoff(random),
          maxAttempts: defaultMaxAttempts,
          maxResumptions: MAX_RESUMPTIONS,
        }),
    ).singleton(),
  });
}

function registerRequests(
  container: AwilixContainer<Cradle>,
  identity: ProcessIdentity,
): void {
  const { settings, secrets } = container.cradle;
  const { limits, router } = settings;
  const attemptPrefix = `${router.id}.${identity.incarnation.toString(36)}`;
  container.register({
    flow: asFunction(
      ({ admission, placing, retrying, recorder }: Cradle) =>
        new RequestFlow({
          admission,
          placing,
          retrying,
          recorder,
          placementWait: PLACEMENT_WAIT,
          attemptPrefix,
        }),
    ).singleton(),
    dispatcher: asFunction(
      ({ flow, timers, counters }: Cradle) =>
        new RequestDispatcher({ flow, timers, counter: counters }),
    ).singleton(),
    orderBook: asFunction(
      ({ random, recorder }: Cradle) =>
        new OrderBook({
          router: routerId(router.id),
          tokenPrefix: attemptPrefix,
          random,
          recorder,
          settings: defaultOrderSettings,
          rules: new OrderRules(),
        }),
    ).singleton(),
    orderDesk: asClass(StoreOrderDesk).singleton(),
    client: asFunction(
      () =>
        new EndpointClient({
          connectTimeout: milliseconds(limits.connect_timeout_ms),
          firstByteTimeout: milliseconds(limits.first_byte_timeout_ms),
          stallTimeout: milliseconds(limits.stall_timeout_ms),
        }),
    ).singleton(),
    tags: asValue(new StreamTags({ secret: secrets.peerSecret })),
    streamRelay: asClass(StreamRelay).singleton(),
    wholeRelay: asFunction(newWholeRelay).singleton(),
    runner: asFunction(newRunner).singleton(),
    keys: asValue(new TeamKeys(settings.team)),
    intake: asClass(IntakeReader).singleton(),
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
