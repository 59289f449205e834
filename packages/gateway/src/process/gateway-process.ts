/**
 * Starts and stops a router on the platform, and connects the store's replica,
 * the fleet state and the peers while it runs.
 */
import type { ColdEndpoints } from '@sesamegrade/core/endpoint-limits/cold-endpoints';
import type { EndpointLimits } from '@sesamegrade/core/endpoint-limits/endpoint-limits';
import type {
  EndpointPaths,
  PathChange,
} from '@sesamegrade/core/endpoint-paths/endpoint-paths';
import type { PermitRefusals } from '@sesamegrade/core/endpoint-limits/permit-refusals';
import type {
  EndpointDirectory,
  DirectoryEvent,
} from '@sesamegrade/core/endpoints/endpoint-directory';
import type { EvacuatedZones } from '@sesamegrade/core/endpoints/evacuated-zones';
import type { CacheSurveyPlan } from '@sesamegrade/core/engines/cache-survey-plan';
import type { FleetState } from '@sesamegrade/core/forwarding/fleet-state';
import type { PeerUpdates } from '@sesamegrade/core/peers/peer-updates';
import type { RelayedSuspects } from '@sesamegrade/core/poison/relayed-suspects';
import type { RouteTable } from '@sesamegrade/core/routes/route-table';
import type { EndpointReplica } from '@sesamegrade/core/endpoints/endpoint-replica';
import type { FleetConfiguration } from '@sesamegrade/core/routes/fleet-configuration';
import { MAX_CONFIGURATION_DELAY } from '@sesamegrade/core/routes/route-history';
import type { RouteHistory } from '@sesamegrade/core/routes/route-history';
import type { StreamOrigins } from '@sesamegrade/core/software-versions/stream-origins';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { EndpointId } from '@sesamegrade/core/types/ids';
import { addTime, elapsed, milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import type { LimitListener } from '../callers/connection-bounds';
import type { BodyMemory } from '../callers/body-memory';
import type { GatewayCallerServer } from '../callers/gateway-caller-server';
import type { CacheSurvey } from '../endpoints/cache-survey';
import type { ConnectionPool } from '../endpoints/connection-pool';
import type { CrashDetector } from '../endpoints/crash-detector';
import type { Forwarder } from '../forwarding/forwarder';
import type { ResponseMemory } from '../forwarding/response-memory';
import type { DecisionLog } from '../logs/decision-log';
import type { GatewayMetrics } from '../metrics/gateway-metrics';
import type { PeerMesh } from '../peers/peer-mesh';
import type { FleetPermits } from '../permits/fleet-permits';
import type { FleetReplica } from '../store/fleet-replica';
import type { FleetReadiness } from '../store/fleet-readiness';
import type { StoredSuspects } from '../store/stored-suspects';
import type { DefaultVersionKeeper } from '../streams/default-version-keeper';
import type { OriginSharing } from '../streams/origin-sharing';
import type { StreamLedger } from '../streams/stream-ledger';
import type { TunnelServer } from '../tunnels/tunnel-server';
import type { ShutdownSequence } from './shutdown-sequence';
import { AdminServer } from './admin-server';

/** Accuracy with which lapsed directory entries and ejections end. */
const TICK_PERIOD: Milliseconds = milliseconds(250);

export interface GatewayProcessOptions {
  readonly cacheSurvey: CacheSurvey;
  readonly surveyPlan: CacheSurveyPlan;
  readonly settings: GatewaySettings;
  readonly timers: TimerService;
  readonly routes: RouteTable;
  readonly endpointDirectory: EndpointDirectory;
  readonly endpointReplica: Pick<
    EndpointReplica,
    'onFirstList' | 'onMissedChanges'
  >;
  readonly coldEndpoints: ColdEndpoints;
  readonly evacuatedZones: EvacuatedZones;
  readonly endpointLimits: EndpointLimits;
  readonly permitRefusals: PermitRefusals;
  readonly fleetPermits: FleetPermits;
  readonly fleetState: FleetState;
  readonly forwarder: Forwarder;
  readonly shutdownSequence: ShutdownSequence;
  readonly bodyMemory: BodyMemory;
  readonly responseMemory: ResponseMemory;
  readonly callerServer: GatewayCallerServer;
  readonly fleetReplica: FleetReplica;
  readonly fleetReadiness: FleetReadiness;
  readonly peerUpdates: PeerUpdates;
  readonly peerMesh: PeerMesh;
  readonly connectionPool: ConnectionPool;
  readonly endpointPaths: EndpointPaths;
  readonly tunnelServer: TunnelServer;
  readonly suspects: RelayedSuspects;
  readonly crashDetector: CrashDetector;
  readonly storedSuspects: StoredSuspects;
  readonly defaultVersionKeeper: DefaultVersionKeeper;
  readonly streamLifetime: () => Milliseconds;
  readonly routeHistory: RouteHistory;
  readonly streamLedger: StreamLedger;
  readonly originSharing: OriginSharing;
  readonly streamOrigins: StreamOrigins;
  readonly backgroundTasks: BackgroundTasks;
  readonly log: DecisionLog;
  readonly gatewayMetrics: GatewayMetrics;
}

export class GatewayProcess {
  readonly #options: GatewayProcessOptions;
  readonly #readinessServer: AdminServer;
  readonly #metricsServer: AdminServer;
  #stopped: Promise<void> | undefined;

  constructor(options: GatewayProcessOptions) {
    this.#options = options;
    const { settings, backgroundTasks: tasks } = options;
    this.#readinessServer = new AdminServer({
      routes: {
        [settings.router.ready_path]: () =>
          this.isReady
            ? { status: 200, body: 'ready' }
            : { status: 503, body: 'not ready' },
      },
      tasks,
      maxConnections: settings.caller_limits.ready_connections,
      onLimit: limitListener('readiness', options),
    });
    this.#metricsServer = new AdminServer({
      routes: {
        '/metrics': async () => ({
          status: 200,
          body: await options.gatewayMetrics.text(),
        }),
      },
      tasks,
      maxConnections: settings.caller_limits.metrics_connections,
      onLimit: limitListener('metrics', options),
    });
    this.#registerGauges();
  }

  /** Whether routes and endpoints have been read and the router is not shutting down. */
  get isReady(): boolean {
    const { shutdownSequence, fleetReadiness } = this.#options;
    return !shutdownSequence.hasStarted && fleetReadiness.isReady;
  }

  /** Begins to read the store and opens all listeners; resolves before the router is ready. */
  async start(): Promise<void> {
    const { settings, callerServer, fleetReplica, peerMesh, timers, log } =
      this.#options;
    const { router } = settings;
    this.#subscribePeerUpdates();
    this.#subscribeEndpointChanges();
    fleetReplica.start();
    await callerServer.listen(router.callers);
    await peerMesh.start();
    await this.#readinessServer.listen(router.ready);
    await this.#metricsServer.listen({
      host: router.callers.host,
      port: router.metrics_port,
    });
    this.#options.originSharing.start();
    timers.every(TICK_PERIOD, now => {
      const { endpointDirectory, fleetState } = this.#options;
      this.#onDirectoryEvents(endpointDirectory.tick(now));
      this.#options.coldEndpoints.tick(now);
      fleetState.tick(now);
      this.#options.suspects.tick(now);
      fleetReplica.tick(now);
      this.#options.defaultVersionKeeper.tick(now);
      this.#options.streamLedger.tick(now);
      this.#options.cacheSurvey.tick(now);
      this.#options.connectionPool.closeIdleDetours();
    });
    fleetReplica.onDirectoryChange(events => {
      this.#onDirectoryEvents(events);
    });
    log.write('start', { router: router.id, zone: router.zone });
  }

  /**
   * Drains the router; resolves when no request runs any more or the grace
   * period is nearly over, also when it is called again.
   */
  stop(): Promise<void> {
    if (this.#stopped) {
      this.#options.log.write('stop-repeated');
    }
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    const {
      shutdownSequence,
      timers,
      callerServer,
      forwarder,
      tunnelServer,
      log,
    } = this.#options;
    const now = timers.now();
    // The kill is timed at the signal, which may have come at any time since.
    const startedAt = timers.heldUpSince ?? now;
    shutdownSequence.start(startedAt, now);
    const { answersBy = now } = shutdownSequence;
    log.write('stop-begun', {
      running: forwarder.running,
      heldUp: Math.round(elapsed(startedAt, now)),
      answersIn: Math.round(elapsed(now, answersBy)),
    });
    callerServer.startDraining();
    await shutdownSequence.waitUntilDrained(timers, {
      running: () =>
        forwarder.running +
        callerServer.openExchangeCount +
        tunnelServer.openCount,
      closeIdle: () => {
        callerServer.closeIdleConnections();
      },
      endRunning: scope => {
        forwarder.endRunning(scope);
      },
      resetUnframed: () => {
        callerServer.resetUnframed();
      },
    });
    // Requests may have been read since the last poll, and in the turn that writes the last responses.
    forwarder.endRunning('all');
    await nextLoopTurn();
    forwarder.endRunning('all');
    await afterWrites();
    callerServer.logUnfinished();
    log.write('stop', {
      took: Math.round(elapsed(startedAt, timers.now())),
      running: forwarder.running,
      unwritten: callerServer.openExchangeCount,
      tunnels: tunnelServer.openCount,
      ...forwarder.endedByStop,
    });
    callerServer.close();
    tunnelServer.close();
  }

  /** Closes every connection and timer at once. */
  async kill(): Promise<void> {
    const { callerServer, fleetReplica, peerMesh, connectionPool, timers } =
      this.#options;
    callerServer.close();
    this.#readinessServer.close();
    this.#metricsServer.close();
    fleetReplica.stop();
    connectionPool.close();
    this.#options.tunnelServer.close();
    await peerMesh.stop();
    timers.stop();
  }

  #subscribeEndpointChanges(): void {
    const {
      endpointReplica,
      endpointDirectory,
      coldEndpoints,
      permitRefusals,
      defaultVersionKeeper,
      log,
    } = this.#options;
    endpointDirectory.onEntry((entry, now, isFirstList) => {
      coldEndpoints.onEntry(entry, now, isFirstList);
    });
    coldEndpoints.onChanged(({ kind, ...change }) => {
      log.write(kind === 'cold' ? 'endpoint-cold' : 'endpoint-warm', change);
      if (kind === 'warm') {
        permitRefusals.remove(change.endpoint);
      }
    });
    endpointReplica.onFirstList(at => {
      log.write('endpoints-listed', { ...at });
    });
    endpointReplica.onMissedChanges(before => {
      defaultVersionKeeper.markMissed();
      log.write('endpoint-changes-missed', { ...before });
    });
  }

  /** Sends changes of this router's state to its peers. */
  #subscribePeerUpdates(): void {
    const {
      fleetState,
      peerUpdates,
      peerMesh,
      fleetReplica,
      permitRefusals,
      log,
    } = this.#options;
    fleetState.setListener({
      onLoadChanged: (endpoint, own) => {
        peerUpdates.onLoadChanged(endpoint, own);
        peerMesh.flushLoadsSoon();
      },
      onPartChanged: (part, engine, state) => {
        peerUpdates.onPartChanged(part, engine, state);
        peerMesh.flushSoon();
      },
      onEjectionChanged: change => {
        log.write('endpoint-standing', { ...change });
      },
      onEndpointLeaving: entry => {
        log.write('endpoint', {
          kind: 'leaving',
          id: entry.id,
          origin: 'response',
        });
        peerUpdates.onEndpointLeaving(entry);
        peerMesh.flushSoon();
      },
      onEndpointReplaced: ({ id }) => {
        log.write('endpoint', { kind: 'replaced', id, origin: 'response' });
        peerUpdates.onEndpointGone(id);
        peerMesh.flushSoon();
      },
    });
    this.#options.endpointLimits.onChanged(change => {
      log.write('endpoint-limit', { ...change });
      permitRefusals.remove(change.endpoint);
      peerMesh.flushSoon();
    });
    this.#options.evacuatedZones.onChanged(
      ({ added, removed, origin, position }, now) => {
        this.#options.coldEndpoints.onZonesReopened(removed, now);
        for (const zone of added) {
          log.write('zone-evacuated', { zone, origin, ...position });
        }
        for (const zone of removed) {
          log.write('zone-returned', { zone, origin, ...position });
        }
      },
    );
    this.#options.endpointPaths.onChanged(change => {
      log.write('endpoint-path', { ...change });
      this.#closeAffectedConnections(change);
    });
    this.#options.suspects.onChanged(change => {
      peerMesh.flushSoon();
      this.#options.storedSuspects.onChanged(change);
    });
    fleetReplica.onRead(() => {
      peerMesh.flushSoon();
    });
    fleetReplica.onRestored(() => {
      peerMesh.registerAgain();
      this.#options.streamLedger.onRestored();
    });
    fleetReplica.onConfiguration((configuration, era) => {
      const { version, limits } = configuration;
      this.#recordRoutes(configuration);
      this.#options.coldEndpoints.tick(this.#options.timers.now());
      peerUpdates.onVersionChanged({ version, era });
      peerMesh.flushSoon();
      this.#options.callerServer.applyLimits(limits);
    });
  }

  /**
   * Streams that began at another service are of no version of the one that has their
   * route now. Routers that start later find that in the list of default versions.
   */
  #recordRoutes(configuration: FleetConfiguration): void {
    const { routeHistory, defaultVersionKeeper, streamLifetime, timers } =
      this.#options;
    const now = timers.now();
    const until = addTime(
      now,
      milliseconds(streamLifetime() + MAX_CONFIGURATION_DELAY),
    );
    for (const service of routeHistory.record(configuration, now)) {
      defaultVersionKeeper.inherit(service, until);
    }
    defaultVersionKeeper.tick(now);
  }

  /**
   * Closes idle connections on a path that loses everything, and detours around one
   * that is back. A path that only refuses new connections keeps the open ones.
   */
  #closeAffectedConnections({
    address,
    isCut,
    kind,
    isIsolated,
  }: PathChange): void {
    const { connectionPool, endpointDirectory } = this.#options;
    const isAffected = (id: EndpointId) => {
      const entry = endpointDirectory.get(id);
      return (
        entry?.address.host === address.host &&
        entry.address.port === address.port
      );
    };
    if (!isCut) {
      connectionPool.closeIdlePaths('peer', isAffected);
    } else if (kind === 'timeout') {
      connectionPool.closeIdlePaths(
        'direct',
        isIsolated ? () => true : isAffected,
      );
    }
  }

  #onDirectoryEvents(events: readonly DirectoryEvent[]): void {
    const { connectionPool, fleetState, log, endpointDirectory, timers } =
      this.#options;
    const { surveyPlan } = this.#options;
    if (events.length === 0) {
      return;
    }
    fleetState.onEndpointsChanged(endpointDirectory.all(), timers.now());
    this.#options.crashDetector.onDirectoryEvents(events);
    const started = events.flatMap(event =>
      event.kind === 'joined' || event.kind === 'restarted'
        ? [event.entry]
        : [],
    );
    if (started.length > 0) {
      this.#options.defaultVersionKeeper.tick(timers.now());
      this.#options.streamOrigins.onStarted(
        new Map(started.map(entry => [entry.id, entry.softwareVersion])),
      );
    }
    for (const event of events) {
      log.write('endpoint', { ...event });
      if (event.kind === 'leaving' || event.kind === 'gone') {
        this.#announceDeparture(event);
      }
      if (event.kind === 'gone') {
        connectionPool.closeIdle(event.id);
        this.#options.coldEndpoints.onGone(event.id, timers.now());
        this.#forgetPermits(event.id);
        fleetState.forget(event.id);
        surveyPlan.remove(event.id);
      } else if (event.kind === 'restarted') {
        connectionPool.closeIdle(event.entry.id);
        this.#forgetPermits(event.entry.id);
        fleetState.forget(event.entry.id);
      }
    }
    this.#options.endpointPaths.retain(
      endpointDirectory.all().map(({ address }) => address),
    );
  }

  /** The requests of an endpoint that is gone or was restarted have ended. */
  #forgetPermits(endpoint: EndpointId): void {
    const { fleetPermits, permitRefusals } = this.#options;
    fleetPermits.forget(endpoint);
    permitRefusals.remove(endpoint);
  }

  #announceDeparture({
    kind,
    id,
  }: Extract<DirectoryEvent, { kind: 'leaving' | 'gone' }>): void {
    const { endpointDirectory, peerUpdates, peerMesh } = this.#options;
    const entry = endpointDirectory.get(id);
    if (kind === 'leaving' && entry) {
      peerUpdates.onEndpointLeaving(entry);
    } else {
      peerUpdates.onEndpointGone(id);
    }
    peerMesh.flushSoon();
  }

  #registerGauges(): void {
    const {
      gatewayMetrics,
      forwarder,
      callerServer,
      routes,
      log,
      connectionPool,
      endpointDirectory,
    } = this.#options;
    gatewayMetrics.registerGauge(
      'requests_running',
      'Requests in progress.',
      () => forwarder.running,
    );
    gatewayMetrics.registerGauge(
      'caller_connections',
      'Connections of callers.',
      () => callerServer.connectionCount,
    );
    gatewayMetrics.registerGauge(
      'request_body_bytes',
      'Bytes that request bodies hold.',
      () => this.#options.bodyMemory.total,
    );
    gatewayMetrics.registerGauge(
      'response_bytes',
      'Bytes of responses that callers have not got.',
      () => this.#options.responseMemory.total,
    );
    gatewayMetrics.registerGauge(
      'configuration_version',
      'Version in force.',
      () => routes.version ?? 0,
    );
    gatewayMetrics.registerGauge(
      'log_lines_dropped',
      'Log lines not written.',
      () => log.dropped,
    );
    gatewayMetrics.registerGauge(
      'channels_opened',
      'Connections opened to endpoints.',
      () => connectionPool.openedCount,
    );
    gatewayMetrics.registerGauge(
      'peers_connected',
      'Routers that updates are received from.',
      () => this.#options.peerMesh.connectedCount,
    );
    gatewayMetrics.registerGauge(
      'peer_bytes',
      'Bytes exchanged with routers.',
      () => this.#options.peerMesh.bytes,
    );
    gatewayMetrics.registerGauge(
      'endpoint_crashes',
      'Crashes of endpoints that broke off requests of this router.',
      () => this.#options.crashDetector.crashCount,
    );
    gatewayMetrics.registerGauge(
      'crash_suspects',
      'Contents that ran during a crash of an endpoint.',
      () => this.#options.suspects.size,
    );
    gatewayMetrics.registerGauge(
      'cut_endpoints',
      'Endpoints that this router reaches only through other routers.',
      () => this.#options.endpointPaths.cutCount,
    );
    gatewayMetrics.registerGauge(
      'tunnels',
      'Connections to endpoints that are open for other routers.',
      () => this.#options.tunnelServer.openCount,
    );
    gatewayMetrics.registerGauge(
      'tunnels_opened',
      'Connections to endpoints that were opened for other routers.',
      () => this.#options.tunnelServer.openedCount,
    );
    gatewayMetrics.registerGauge(
      'limited_endpoints',
      'Endpoints that state the rate of requests that they accept.',
      () => this.#options.endpointLimits.requests.size,
    );
    gatewayMetrics.registerGauge(
      'cold_endpoints',
      'Endpoints that get requests only with permits, as they are cold.',
      () => this.#options.coldEndpoints.size,
    );
    gatewayMetrics.registerGauge(
      'brittle_endpoints',
      'Endpoints that state how many rejections make them fall over.',
      () => this.#options.endpointLimits.rejections.size,
    );
    gatewayMetrics.registerGauge(
      'stream_records_taken',
      'Whether the store takes records of streams.',
      () => Number(this.#options.streamLedger.takesRecords),
    );
    gatewayMetrics.registerGauge(
      'streams_remembered',
      'Streams whose origin this router knows.',
      () => this.#options.streamOrigins.size,
    );
    gatewayMetrics.registerGauge(
      'evacuated_zones',
      'Zones whose endpoints receive no requests.',
      () => this.#options.evacuatedZones.size,
    );
    gatewayMetrics.registerGauge(
      'endpoints',
      'Endpoints known.',
      () => endpointDirectory.size,
    );
  }
}

/** Counts and logs the limits that clients of a server reach. */
function limitListener(
  server: string,
  {
    gatewayMetrics,
    log,
  }: Pick<GatewayProcessOptions, 'gatewayMetrics' | 'log'>,
): LimitListener {
  return (limit, address) => {
    gatewayMetrics.recordLimit(server, limit);
    log.write('client-limit', { server, limit, address });
  };
}

/** Resolves once the responses of this turn are handed to the system, before anything else is read. */
function afterWrites(): Promise<void> {
  return new Promise(resolve => {
    process.nextTick(resolve);
  });
}

function nextLoopTurn(): Promise<void> {
  return new Promise(resolve => {
    setImmediate(resolve);
  });
}
