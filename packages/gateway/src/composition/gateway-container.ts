/** Dependency injection container of a router on the platform. */
import {
  asClass,
  asFunction,
  asValue,
  createContainer,
  InjectionMode,
} from 'awilix';
import type { AwilixContainer } from 'awilix';
import type { Logger } from 'winston';

import { ColdEndpoints } from '@sesamegrade/core/endpoint-limits/cold-endpoints';
import { EndpointLimits } from '@sesamegrade/core/endpoint-limits/endpoint-limits';
import { PermitRefusals } from '@sesamegrade/core/endpoint-limits/permit-refusals';
import { EndpointPaths } from '@sesamegrade/core/endpoint-paths/endpoint-paths';
import { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import { EvacuatedZones } from '@sesamegrade/core/endpoints/evacuated-zones';
import { CacheSurveyPlan } from '@sesamegrade/core/engines/cache-survey-plan';
import { EndpointReplica } from '@sesamegrade/core/endpoints/endpoint-replica';
import { RefusalHolds } from '@sesamegrade/core/endpoints/refusal-holds';
import { LoadEstimate } from '@sesamegrade/core/engines/load-estimate';
import { PartLocations } from '@sesamegrade/core/engines/part-locations';
import { EndpointChooser } from '@sesamegrade/core/forwarding/endpoint-chooser';
import { FleetState } from '@sesamegrade/core/forwarding/fleet-state';
import { ServiceHealth } from '@sesamegrade/core/outliers/service-health';
import { DEFAULT_EJECTION } from '@sesamegrade/core/outliers/outlier-detector';
import { loadUpdateDelay } from '@sesamegrade/core/peers/update-delays';
import { FeedUpdates } from '@sesamegrade/core/peers/feed-updates';
import type { FeedTable } from '@sesamegrade/core/peers/feed-updates';
import { LoadUpdates } from '@sesamegrade/core/peers/load-updates';
import { StoreClock } from '@sesamegrade/core/store/store-clock';
import { FeedCoverage } from '@sesamegrade/core/store/feed-coverage';
import { PeerUpdates } from '@sesamegrade/core/peers/peer-updates';
import { RouterDirectory } from '@sesamegrade/core/peers/router-directory';
import { RelayedSuspects } from '@sesamegrade/core/poison/relayed-suspects';
import { FleetRetryBudget } from '@sesamegrade/core/retries/fleet-retry-budget';
import type { RouterIdentity } from '@sesamegrade/core/membership/router-table';
import { Random } from '@sesamegrade/core/random/random';
import { RouteHistory } from '@sesamegrade/core/routes/route-history';
import { RouteTable } from '@sesamegrade/core/routes/route-table';
import { DefaultVersions } from '@sesamegrade/core/software-versions/default-versions';
import { StreamAdmission } from '@sesamegrade/core/software-versions/stream-admission';
import { StreamOrigins } from '@sesamegrade/core/software-versions/stream-origins';
import { routedLifetime } from '@sesamegrade/core/software-versions/stream-lifetime';
import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { incarnation, routerId, zoneId } from '@sesamegrade/core/types/ids';
import { seconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import { PeerProof } from '@sesamegrade/router/peers/peer-proof';
import type { LogOutput } from '@sesamegrade/router/logs/log-output';
import { openLogger } from '@sesamegrade/router/logs/logger';
import { openOutput } from '@sesamegrade/router/logs/open-output';
import { SystemTimerService } from '@sesamegrade/router/process/system-timer-service';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import { BodyMemory } from '../callers/body-memory';
import { GatewayCallerServer } from '../callers/gateway-caller-server';
import type { CallerProtocol } from '../callers/caller-protocol';
import { CacheSurvey } from '../endpoints/cache-survey';
import { ConnectionEnd } from '../endpoints/connection-end';
import { ConnectionPool } from '../endpoints/connection-pool';
import { CrashDetector } from '../endpoints/crash-detector';
import { ProcessVerification } from '../endpoints/process-verification';
import { DirectDialer } from '../endpoints/endpoint-dialer';
import type { EndpointDialer } from '../endpoints/endpoint-dialer';
import type { EndpointProtocol } from '../endpoints/endpoint-protocol';
import { AdmissionGate } from '../forwarding/admission-gate';
import { AttemptPlacement } from '../forwarding/attempt-placement';
import { ResponseMemory } from '../forwarding/response-memory';
import { Forwarder } from '../forwarding/forwarder';
import { Refusals } from '../forwarding/refusals';
import { DecisionLog } from '../logs/decision-log';
import { GatewayMetrics } from '../metrics/gateway-metrics';
import { PeerMesh } from '../peers/peer-mesh';
import { FleetPermits } from '../permits/fleet-permits';
import { GatewayProcess } from '../process/gateway-process';
import { memoryShares } from '../process/memory-shares';
import { SettingsReloader } from '../process/settings-reloader';
import { ShutdownSequence } from '../process/shutdown-sequence';
import type { DeploymentCodec } from '../store/deployment-codec';
import { ConfigurationConfirmation } from '../store/configuration-confirmation';
import type { FeedSource } from '../store/feed-source';
import { FleetReplica } from '../store/fleet-replica';
import { FleetReadiness } from '../store/fleet-readiness';
import { StoredSuspects } from '../store/stored-suspects';
import type { RowTable } from '../store/row-table';
import { DefaultVersionKeeper } from '../streams/default-version-keeper';
import { OriginConfirmation } from '../streams/origin-confirmation';
import { OriginSharing } from '../streams/origin-sharing';
import { OriginTable } from '../streams/origin-table';
import { OriginWriter } from '../streams/origin-writer';
import { routingName } from '../streams/routing-name';
import { StreamLedger } from '../streams/stream-ledger';
import { StreamResumption } from '../streams/stream-resumption';
import { SuccessorAgreement } from '../streams/successor-agreement';
import { PathDialer } from '../tunnels/path-dialer';
import { PathMonitor } from '../tunnels/path-monitor';
import { TunnelClient } from '../tunnels/tunnel-client';
import { TunnelServer } from '../tunnels/tunnel-server';

/** Collaborators that the adapter of a deployment's platform provides. */
export interface Deployment {
  readonly callerProtocol: CallerProtocol;
  readonly endpointProtocol: EndpointProtocol;
  readonly codec: DeploymentCodec;
  readonly configurationFeed: FeedSource;
  readonly endpointFeed: FeedSource;
  readonly routerRows: RowTable;
  readonly streamRows: RowTable;
  /** The same table as a feed. */
  readonly streamFeed: FeedSource;
}

export interface GatewayCradle extends Deployment {
  readonly settings: GatewaySettings;
  readonly logOutput: LogOutput;
  readonly logger: Logger;
  readonly timers: TimerService;
  readonly random: Random;
  readonly log: DecisionLog;
  readonly backgroundTasks: BackgroundTasks;
  readonly gatewayMetrics: GatewayMetrics;
  readonly routes: RouteTable;
  readonly endpointDirectory: EndpointDirectory;
  readonly evacuatedZones: EvacuatedZones;
  readonly loads: LoadEstimate;
  readonly locations: PartLocations;
  readonly health: ServiceHealth;
  readonly holds: RefusalHolds;
  readonly coldEndpoints: ColdEndpoints;
  readonly endpointLimits: EndpointLimits;
  readonly permitRefusals: PermitRefusals;
  readonly fleetPermits: FleetPermits;
  readonly attemptPlacement: AttemptPlacement;
  readonly admissionGate: AdmissionGate;
  readonly routerDirectory: RouterDirectory;
  readonly retryBudget: FleetRetryBudget;
  readonly fleetState: FleetState;
  readonly suspects: RelayedSuspects;
  readonly crashDetector: CrashDetector;
  readonly storedSuspects: StoredSuspects;
  /** Longest time from the begin of a stream to its last resumption. */
  readonly streamLifetime: () => Milliseconds;
  readonly defaultVersions: DefaultVersions;
  readonly defaultVersionKeeper: DefaultVersionKeeper;
  readonly streamAdmission: StreamAdmission;
  readonly routeHistory: RouteHistory;
  readonly streamOrigins: StreamOrigins;
  readonly originTable: OriginTable;
  readonly originWriter: OriginWriter;
  readonly successorAgreement: SuccessorAgreement;
  readonly streamLedger: StreamLedger;
  readonly originSharing: OriginSharing;
  readonly streamResumption: StreamResumption;
  readonly configurationConfirmation: ConfigurationConfirmation;
  readonly originConfirmation: OriginConfirmation;
  readonly chooser: EndpointChooser;
  readonly directDialer: EndpointDialer;
  readonly endpointDialer: PathDialer;
  readonly endpointPaths: EndpointPaths;
  readonly pathMonitor: PathMonitor;
  readonly tunnelClient: TunnelClient;
  readonly tunnelServer: TunnelServer;
  readonly identity: RouterIdentity;
  readonly peerProof: PeerProof;
  readonly connectionPool: ConnectionPool;
  readonly connectionEnd: ConnectionEnd;
  readonly processVerification: ProcessVerification;
  readonly bodyMemory: BodyMemory;
  readonly responseMemory: ResponseMemory;
  readonly refusals: Refusals;
  readonly forwarder: Forwarder;
  readonly shutdownSequence: ShutdownSequence;
  readonly settingsReloader: SettingsReloader;
  readonly callerServer: GatewayCallerServer;
  readonly fleetReplica: FleetReplica;
  readonly fleetReadiness: FleetReadiness;
  readonly peerSecret: string;
  readonly peerUpdates: PeerUpdates;
  readonly coverage: Readonly<Record<FeedTable, FeedCoverage>>;
  readonly endpointReplica: EndpointReplica;
  readonly storeClock: StoreClock;
  readonly loadUpdates: LoadUpdates;
  readonly feedUpdates: FeedUpdates;
  readonly surveyPlan: CacheSurveyPlan;
  readonly peerMesh: PeerMesh;
  readonly cacheSurvey: CacheSurvey;
  readonly gateway: GatewayProcess;
}

const MAX_RANDOM_SEED = 0x7fffffff;

/** Registers all collaborators; each is created when it is first resolved. */
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
    streamRows: asValue(deployment.streamRows),
    streamFeed: asValue(deployment.streamFeed),
    logOutput: asFunction(() => openOutput(process.stdout)).singleton(),
    logger: asFunction(newLogger).singleton(),
    timers: asFunction(() => new SystemTimerService()).singleton(),
    random: asFunction(
      () => new Random(Math.floor(Math.random() * MAX_RANDOM_SEED)),
    ).singleton(),
    log: asFunction(
      ({ logger, logOutput, timers }: GatewayCradle) =>
        new DecisionLog({ logger, output: logOutput, timers }),
    ).singleton(),
    backgroundTasks: asFunction(newBackgroundTasks).singleton(),
    gatewayMetrics: asFunction(() => new GatewayMetrics()).singleton(),
    routes: asFunction(() => new RouteTable()).singleton(),
    endpointDirectory: asFunction(
      ({ settings }: GatewayCradle) =>
        new EndpointDirectory(settings.bounds.departure_ms),
    ).singleton(),
    evacuatedZones: asFunction(() => new EvacuatedZones()).singleton(),
    loads: asFunction(() => new LoadEstimate()).singleton(),
    locations: asFunction(() => new PartLocations()).singleton(),
    health: asFunction(newHealth).singleton(),
    holds: asFunction(() => new RefusalHolds()).singleton(),
    coldEndpoints: asFunction(
      ({ routes, timers, settings }: GatewayCradle) =>
        new ColdEndpoints({
          service: id => routes.service(id),
          wallTime: () => timers.wallTime(),
          overage: settings.bounds.cold_overage,
          slack: settings.bounds.cold_slack,
        }),
    ).singleton(),
    endpointLimits: asFunction(
      ({ coldEndpoints }: GatewayCradle) => new EndpointLimits(coldEndpoints),
    ).singleton(),
    permitRefusals: asFunction(
      ({ routerDirectory }: GatewayCradle) =>
        new PermitRefusals(() => routerDirectory.fleetSize),
    ).singleton(),
    fleetPermits: asClass(FleetPermits).singleton(),
    attemptPlacement: asClass(AttemptPlacement).singleton(),
    admissionGate: asClass(AdmissionGate).singleton(),
    routerDirectory: asFunction(() => new RouterDirectory()).singleton(),
    retryBudget: asFunction(newRetryBudget).singleton(),
    fleetState: asFunction(newFleetState).singleton(),
    suspects: asFunction(
      ({ settings, routerDirectory }: GatewayCradle) =>
        new RelayedSuspects({
          self: routerId(settings.router.id),
          routers: () => routerDirectory.ids,
        }),
    ).singleton(),
    crashDetector: asClass(CrashDetector).singleton(),
    storedSuspects: asClass(StoredSuspects).singleton(),
    streamLifetime: asFunction(({ routes, timers }: GatewayCradle) =>
      routedLifetime(routes, timers),
    ).singleton(),
    defaultVersions: asFunction(() => new DefaultVersions()).singleton(),
    defaultVersionKeeper: asClass(DefaultVersionKeeper).singleton(),
    streamAdmission: asFunction(
      (cradle: GatewayCradle) =>
        new StreamAdmission({
          defaultVersions: cradle.defaultVersions,
          takesRecords: () => cradle.streamLedger.takesRecords,
        }),
    ).singleton(),
    routeHistory: asFunction(
      (cradle: GatewayCradle) =>
        new RouteHistory(cradle.streamLifetime, routingName),
    ).singleton(),
    streamOrigins: asFunction(
      (cradle: GatewayCradle) => new StreamOrigins(cradle.streamLifetime),
    ).singleton(),
    originTable: asClass(OriginTable).singleton(),
    originWriter: asClass(OriginWriter).singleton(),
    successorAgreement: asClass(SuccessorAgreement).singleton(),
    streamLedger: asClass(StreamLedger).singleton(),
    originSharing: asClass(OriginSharing).singleton(),
    streamResumption: asClass(StreamResumption).singleton(),
    configurationConfirmation: asClass(ConfigurationConfirmation).singleton(),
    originConfirmation: asClass(OriginConfirmation).singleton(),
    chooser: asFunction(newChooser).singleton(),
    directDialer: asFunction(() => new DirectDialer()).singleton(),
    endpointDialer: asClass(PathDialer).singleton(),
    endpointPaths: asFunction(() => new EndpointPaths()).singleton(),
    pathMonitor: asClass(PathMonitor).singleton(),
    connectionEnd: asClass(ConnectionEnd).singleton(),
    tunnelClient: asFunction(
      ({ peerProof }: GatewayCradle) => new TunnelClient(peerProof),
    ).singleton(),
    tunnelServer: asClass(TunnelServer).singleton(),
    identity: asFunction(newIdentity).singleton(),
    peerProof: asFunction(
      ({ identity, peerSecret, timers }: GatewayCradle) =>
        new PeerProof({
          self: identity,
          secret: peerSecret,
          wallTime: () => timers.wallTime(),
        }),
    ).singleton(),
    connectionPool: asFunction(
      ({ timers, endpointDialer }: GatewayCradle) =>
        new ConnectionPool(() => timers.now(), endpointDialer),
    ).singleton(),
    processVerification: asClass(ProcessVerification).singleton(),
    shutdownSequence: asFunction(
      ({ settingsReloader }: GatewayCradle) =>
        new ShutdownSequence(() => settingsReloader.current.stop.grace_seconds),
    ).singleton(),
    settingsReloader: asClass(SettingsReloader).singleton(),
    bodyMemory: asFunction(
      ({ settings }: GatewayCradle) =>
        new BodyMemory({
          total: memoryShares(settings.router.memory_mb).requests,
          incomplete: settings.caller_limits.incomplete_body_bytes,
        }),
    ).singleton(),
    responseMemory: asFunction(
      ({ settings }: GatewayCradle) =>
        new ResponseMemory(memoryShares(settings.router.memory_mb).responses),
    ).singleton(),
    refusals: asClass(Refusals).singleton(),
    forwarder: asClass(Forwarder).singleton(),
    callerServer: asClass(GatewayCallerServer).singleton(),
    fleetReadiness: asClass(FleetReadiness).singleton(),
    fleetReplica: asClass(FleetReplica).singleton(),
    coverage: asFunction(newCoverage).singleton(),
    storeClock: asFunction(() => new StoreClock()).singleton(),
    endpointReplica: asFunction(
      ({ endpointDirectory, coverage }: GatewayCradle) =>
        new EndpointReplica(endpointDirectory, coverage.endpoints),
    ).singleton(),
    loadUpdates: asFunction(
      ({ loads }: GatewayCradle) => new LoadUpdates(loads),
    ).singleton(),
    feedUpdates: asFunction(
      ({
        endpointReplica,
        evacuatedZones,
        routes,
        coverage,
        storeClock,
        settings,
      }: GatewayCradle) =>
        new FeedUpdates({
          self: routerId(settings.router.id),
          endpointReplica,
          evacuatedZones,
          routes,
          coverage,
          storeClock,
        }),
    ).singleton(),
    peerUpdates: asFunction(
      ({
        loadUpdates,
        feedUpdates,
        locations,
        endpointDirectory,
        surveyPlan,
        suspects,
        endpointLimits,
      }: GatewayCradle) =>
        new PeerUpdates({
          loadUpdates,
          feedUpdates,
          locations,
          endpointDirectory,
          surveyPlan,
          suspects,
          endpointLimits,
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

function newLogger({ settings, logOutput }: GatewayCradle): Logger {
  return openLogger({
    level: settings.log.level,
    fields: { router: settings.router.id },
    output: logOutput,
    timestamps: true,
  });
}

function newBackgroundTasks({ log }: GatewayCradle): BackgroundTasks {
  return new BackgroundTasks(({ task, error }) => {
    log.write('task-failed', {
      task,
      error:
        error instanceof Error ? (error.stack ?? error.message) : String(error),
    });
  });
}

function newIdentity({ settings, timers }: GatewayCradle): RouterIdentity {
  const { router } = settings;
  return {
    id: routerId(router.id),
    incarnation: incarnation(Math.floor(timers.wallTime())),
    zone: zoneId(router.zone),
    address: router.peers,
    power: router.cpu_share * router.cpu_speed,
  };
}

function newCoverage({
  settings,
  random,
}: GatewayCradle): GatewayCradle['coverage'] {
  const { departure_ms, configuration_ms } = settings.bounds;
  return {
    endpoints: new FeedCoverage({ bound: departure_ms, random }),
    configuration: new FeedCoverage({ bound: configuration_ms, random }),
  };
}

/** Short ejection periods: an endpoint that restarted after a crash is needed at once. */
function newHealth(): ServiceHealth {
  return new ServiceHealth({
    ...DEFAULT_EJECTION,
    maxEjectedFraction: 0.5,
    baseEjectionTime: seconds(1.5),
    maxEjectionTime: seconds(8),
    ejectionDecay: seconds(10),
  });
}

function newRetryBudget({
  settingsReloader,
  routerDirectory,
}: GatewayCradle): FleetRetryBudget {
  return new FleetRetryBudget({
    limits: () => {
      const { retries } = settingsReloader.current;
      return { ...retries, window: retries.window_seconds };
    },
    routers: () => routerDirectory.fleetSize,
  });
}

function newFleetState({
  loads,
  locations,
  health,
  holds,
  endpointLimits,
  endpointDirectory,
  retryBudget,
  timers,
}: GatewayCradle): FleetState {
  return new FleetState({
    loads,
    locations,
    health,
    holds,
    endpointLimits,
    endpointDirectory,
    retryBudget,
    now: () => timers.now(),
  });
}

function newChooser({
  endpointDirectory,
  evacuatedZones,
  loads,
  locations,
  health,
  holds,
  endpointLimits,
  permitRefusals,
  streamAdmission,
  random,
  settings,
  retryBudget,
  routerDirectory,
}: GatewayCradle): EndpointChooser {
  const zone = zoneId(settings.router.zone);
  return new EndpointChooser({
    endpointDirectory,
    evacuatedZones,
    loads,
    locations,
    health,
    holds,
    endpointLimits,
    permitRefusals,
    streamAdmission,
    random,
    zone,
    unreported: (service, now) => {
      const otherRouters = routerDirectory.fleetSize - 1;
      const delay = loadUpdateDelay(routerDirectory.fleetSize);
      return retryBudget.requestRate(service, now) * otherRouters * delay;
    },
  });
}
