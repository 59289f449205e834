/** Builds the parts of a router on the platform. */
import {
  asClass,
  asFunction,
  asValue,
  createContainer,
  InjectionMode,
} from 'awilix';
import type { AwilixContainer } from 'awilix';
import type { Logger } from 'winston';

import { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import { CacheSurveyPlan } from '@sesamegrade/core/engines/cache-survey-plan';
import { LoadEstimate } from '@sesamegrade/core/engines/load-estimate';
import { PartLocations } from '@sesamegrade/core/engines/part-locations';
import { EndpointChooser } from '@sesamegrade/core/forwarding/endpoint-chooser';
import { FleetState } from '@sesamegrade/core/forwarding/fleet-state';
import { ServiceHealth } from '@sesamegrade/core/outliers/service-health';
import { DEFAULT_EJECTION } from '@sesamegrade/core/outliers/outlier-detector';
import { loadUpdateDelay } from '@sesamegrade/core/peers/update-delays';
import { PeerUpdates } from '@sesamegrade/core/peers/peer-updates';
import { RouterDirectory } from '@sesamegrade/core/peers/router-directory';
import { FleetRetryBudget } from '@sesamegrade/core/retries/fleet-retry-budget';
import { Random } from '@sesamegrade/core/random/random';
import { RouteTable } from '@sesamegrade/core/routes/route-table';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { routerId, zoneId } from '@sesamegrade/core/types/ids';
import { seconds } from '@sesamegrade/core/types/units';
import { openLogger } from '@sesamegrade/router/logs/logger';
import { SystemTimerService } from '@sesamegrade/router/process/system-timer-service';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import { CallerServer } from '../callers/caller-server';
import type { CallerProtocol } from '../callers/caller-protocol';
import { CacheSurvey } from '../endpoints/cache-survey';
import { ChannelPool } from '../endpoints/channel-pool';
import type { EndpointProtocol } from '../endpoints/endpoint-protocol';
import { Forwarder } from '../forwarding/forwarder';
import { DecisionLog } from '../logs/decision-log';
import { GatewayMetrics } from '../metrics/gateway-metrics';
import { PeerMesh } from '../peers/peer-mesh';
import { GatewayProcess } from '../process/gateway-process';
import { LiveSettings } from '../process/live-settings';
import { StopPlan } from '../process/stop-plan';
import type { DeploymentCodec } from '../store/deployment-codec';
import type { FeedSource } from '../store/feed-source';
import { FleetMirror } from '../store/fleet-mirror';
import { FleetReadiness } from '../store/fleet-readiness';
import type { RowTable } from '../store/row-table';

/** What the deployment's adapter provides. */
export interface Deployment {
  readonly callerProtocol: CallerProtocol;
  readonly endpointProtocol: EndpointProtocol;
  readonly codec: DeploymentCodec;
  readonly configurationFeed: FeedSource;
  readonly endpointFeed: FeedSource;
  readonly routerRows: RowTable;
}

export interface GatewayCradle extends Deployment {
  readonly settings: GatewaySettings;
  readonly logger: Logger;
  readonly timers: TimerService;
  readonly random: Random;
  readonly log: DecisionLog;
  readonly gatewayMetrics: GatewayMetrics;
  readonly routes: RouteTable;
  readonly directory: EndpointDirectory;
  readonly loads: LoadEstimate;
  readonly locations: PartLocations;
  readonly health: ServiceHealth;
  readonly roster: RouterDirectory;
  readonly repeatBudget: FleetRetryBudget;
  readonly knowledge: FleetState;
  readonly chooser: EndpointChooser;
  readonly pool: ChannelPool;
  readonly forwarder: Forwarder;
  readonly stopPlan: StopPlan;
  readonly liveSettings: LiveSettings;
  readonly callerServer: CallerServer;
  readonly mirror: FleetMirror;
  readonly fleetReadiness: FleetReadiness;
  readonly peerSecret: string;
  readonly peerNews: PeerUpdates;
  readonly surveyPlan: CacheSurveyPlan;
  readonly peerMesh: PeerMesh;
  readonly cacheSurvey: CacheSurvey;
  readonly gateway: GatewayProcess;
}

const MAX_SEED = 0x7fffffff;

export function composeGateway(
  settings: GatewaySettings,
  deployment: Deployment,
  peerSecret: string,
): AwilixContainer<GatewayCradle> {
  const container = createContainer<GatewayCradle>({
    injectionMode: InjectionMode.PROXY,
    strict: true,
  });
  container.register({
    settings: asValue(settings),
    peerSecret: asValue(peerSecret),
    callerProtocol: asValue(deployment.callerProtocol),
    endpointProtocol: asValue(deployment.endpointProtocol),
    codec: asValue(deployment.codec),
    configurationFeed: asValue(deployment.configurationFeed),
    endpointFeed: asValue(deployment.endpointFeed),
    routerRows: asValue(deployment.routerRows),
    logger: asFunction(newLogger).singleton(),
    timers: asFunction(() => new SystemTimerService()).singleton(),
    random: asFunction(
      () => new Random(Math.floor(Math.random() * MAX_SEED)),
    ).singleton(),
    log: asFunction(
      ({ logger, timers }: GatewayCradle) =>
        new DecisionLog({ logger, timers }),
    ).singleton(),
    gatewayMetrics: asFunction(() => new GatewayMetrics()).singleton(),
    routes: asFunction(() => new RouteTable()).singleton(),
    directory: asFunction(() => new EndpointDirectory()).singleton(),
    loads: asFunction(() => new LoadEstimate()).singleton(),
    locations: asFunction(() => new PartLocations()).singleton(),
    health: asFunction(newHealth).singleton(),
    roster: asFunction(() => new RouterDirectory()).singleton(),
    repeatBudget: asFunction(newBudget).singleton(),
    knowledge: asFunction(newKnowledge).singleton(),
    chooser: asFunction(newChooser).singleton(),
    pool: asFunction(
      ({ timers }: GatewayCradle) => new ChannelPool(() => timers.now()),
    ).singleton(),
    stopPlan: asFunction(
      ({ liveSettings }: GatewayCradle) =>
        new StopPlan(() => liveSettings.current.stop.grace_seconds),
    ).singleton(),
    liveSettings: asClass(LiveSettings).singleton(),
    forwarder: asClass(Forwarder).singleton(),
    callerServer: asClass(CallerServer).singleton(),
    fleetReadiness: asClass(FleetReadiness).singleton(),
    mirror: asClass(FleetMirror).singleton(),
    peerNews: asFunction(
      ({ loads, locations, directory, surveyPlan, settings }: GatewayCradle) =>
        new PeerUpdates({
          self: routerId(settings.router.id),
          loads,
          locations,
          directory,
          surveyPlan,
        }),
    ).singleton(),
    surveyPlan: asFunction(
      ({ settings }: GatewayCradle) =>
        new CacheSurveyPlan(routerId(settings.router.id)),
    ).singleton(),
    peerMesh: asClass(PeerMesh).singleton(),
    cacheSurvey: asClass(CacheSurvey).singleton(),
    gateway: asClass(GatewayProcess).singleton(),
  });
  return container;
}

function newLogger({ settings }: GatewayCradle): Logger {
  return openLogger({
    level: settings.log.level,
    fields: { router: settings.router.id },
    stream: process.stdout,
    timestamps: true,
  });
}

/** Short periods: an endpoint that is back after a crash is missed by its callers. */
function newHealth(): ServiceHealth {
  return new ServiceHealth({
    ...DEFAULT_EJECTION,
    maxEjectedFraction: 0.5,
    baseEjectionTime: seconds(1.5),
    maxEjectionTime: seconds(8),
    ejectionDecay: seconds(10),
  });
}

function newBudget({ liveSettings, roster }: GatewayCradle): FleetRetryBudget {
  return new FleetRetryBudget({
    limits: () => {
      const { retries } = liveSettings.current;
      return { ...retries, window: retries.window_seconds };
    },
    routers: () => roster.fleetSize,
  });
}

function newKnowledge({
  loads,
  locations,
  health,
  repeatBudget,
  timers,
}: GatewayCradle): FleetState {
  return new FleetState({
    loads,
    locations,
    health,
    retryBudget: repeatBudget,
    now: () => timers.now(),
  });
}

function newChooser({
  directory,
  loads,
  locations,
  health,
  random,
  settings,
  repeatBudget,
  roster,
}: GatewayCradle): EndpointChooser {
  const zone = zoneId(settings.router.zone);
  return new EndpointChooser({
    directory,
    loads,
    locations,
    health,
    random,
    zone,
    unreported: (service, now) => {
      const others = roster.fleetSize - 1;
      const delay = loadUpdateDelay(roster.fleetSize);
      return repeatBudget.requestRate(service, now) * others * delay;
    },
  });
}
