/** Starts a router on the platform, keeps its view of the fleet and stops it. */
import type {
  EndpointDirectory,
  DirectoryEvent,
} from '@sesamegrade/core/endpoints/endpoint-directory';
import type { CacheSurveyPlan } from '@sesamegrade/core/engines/cache-survey-plan';
import type { FleetState } from '@sesamegrade/core/forwarding/fleet-state';
import type { PeerUpdates } from '@sesamegrade/core/peers/peer-updates';
import type { RouteTable } from '@sesamegrade/core/routes/route-table';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import type { CallerServer } from '../callers/caller-server';
import type { CacheSurvey } from '../endpoints/cache-survey';
import type { ChannelPool } from '../endpoints/channel-pool';
import type { Forwarder } from '../forwarding/forwarder';
import type { DecisionLog } from '../logs/decision-log';
import type { GatewayMetrics } from '../metrics/gateway-metrics';
import type { PeerMesh } from '../peers/peer-mesh';
import type { FleetMirror } from '../store/fleet-mirror';
import type { FleetReadiness } from '../store/fleet-readiness';
import type { StopPlan } from './stop-plan';
import { UpkeepServer } from './upkeep-server';

/** Lapsed entries and ejections end within this of their time. */
const TICK: Milliseconds = milliseconds(250);

export interface GatewayProcessParts {
  readonly cacheSurvey: CacheSurvey;
  readonly surveyPlan: CacheSurveyPlan;
  readonly settings: GatewaySettings;
  readonly timers: TimerService;
  readonly routes: RouteTable;
  readonly directory: EndpointDirectory;
  readonly knowledge: FleetState;
  readonly forwarder: Forwarder;
  readonly stopPlan: StopPlan;
  readonly callerServer: CallerServer;
  readonly mirror: FleetMirror;
  readonly fleetReadiness: FleetReadiness;
  readonly peerNews: PeerUpdates;
  readonly peerMesh: PeerMesh;
  readonly pool: ChannelPool;
  readonly log: DecisionLog;
  readonly gatewayMetrics: GatewayMetrics;
}

export class GatewayProcess {
  readonly #parts: GatewayProcessParts;
  readonly #upkeep: UpkeepServer;
  readonly #metrics: UpkeepServer;

  constructor(parts: GatewayProcessParts) {
    this.#parts = parts;
    this.#upkeep = new UpkeepServer({
      [parts.settings.router.ready_path]: () =>
        this.isReady
          ? { status: 200, body: 'ready' }
          : { status: 503, body: 'not ready' },
    });
    this.#metrics = new UpkeepServer({
      '/metrics': async () => ({
        status: 200,
        body: await parts.gatewayMetrics.text(),
      }),
    });
    this.#registerGauges();
  }

  /** Whether routes and endpoints are known and the router is not stopping. */
  get isReady(): boolean {
    const { stopPlan, fleetReadiness } = this.#parts;
    return !stopPlan.hasBegun && fleetReadiness.isReached;
  }

  async start(): Promise<void> {
    const { settings, callerServer, mirror, peerMesh, timers, log } =
      this.#parts;
    const { router } = settings;
    this.#tellPeers();
    mirror.start();
    await callerServer.listen(router.callers);
    await peerMesh.start();
    await this.#upkeep.listen(router.ready);
    await this.#metrics.listen({
      host: router.callers.host,
      port: router.metrics_port,
    });
    timers.every(TICK, now => {
      const { directory, knowledge } = this.#parts;
      this.#directoryChanged(directory.tick(now));
      knowledge.tick(now);
      void this.#parts.cacheSurvey.tick(now);
    });
    mirror.onDirectoryChange(events => {
      this.#directoryChanged(events);
    });
    log.write('start', { router: router.id, zone: router.zone });
  }

  /** Stops taking work, lets what runs end, and returns when nothing is left or the time is up. */
  async stop(): Promise<void> {
    const { stopPlan, timers, callerServer, forwarder, log } = this.#parts;
    if (stopPlan.hasBegun) {
      return;
    }
    log.write('stop-begun', { running: forwarder.running });
    stopPlan.begin(timers.now());
    callerServer.beginClosing();
    await stopPlan.wait(
      timers,
      () => forwarder.running,
      () => {
        callerServer.closeIdle();
      },
    );
    log.write('stop', { running: forwarder.running });
    callerServer.close();
  }

  /** Ends every connection at once. */
  async kill(): Promise<void> {
    const { callerServer, mirror, peerMesh, pool, timers } = this.#parts;
    callerServer.close();
    this.#upkeep.close();
    this.#metrics.close();
    mirror.stop();
    pool.close();
    await peerMesh.stop();
    timers.stop();
  }

  /** Passes on what this router learns that is worth telling peers. */
  #tellPeers(): void {
    const { knowledge, peerNews, peerMesh, mirror, log } = this.#parts;
    knowledge.setListener({
      onLoadChanged: (endpoint, own) => {
        peerNews.onLoadChanged(endpoint, own);
      },
      onPartChanged: (part, engine, state) => {
        peerNews.onPartChanged(part, engine, state);
        peerMesh.hurry();
      },
      onEjectionChanged: change => {
        log.write('endpoint-standing', { ...change });
      },
    });
    mirror.onConfiguration(({ version, limits }) => {
      peerNews.onVersionChanged(version);
      peerMesh.hurry();
      this.#parts.callerServer.applyLimits(limits);
    });
  }

  #directoryChanged(events: readonly DirectoryEvent[]): void {
    const { pool, knowledge, log, directory, timers, peerNews, peerMesh } =
      this.#parts;
    const { surveyPlan } = this.#parts;
    if (events.length === 0) {
      return;
    }
    knowledge.onEndpointsChanged(directory.all(), timers.now());
    for (const event of events) {
      log.write('endpoint', { ...event });
      if (event.kind === 'leaving' || event.kind === 'gone') {
        peerNews.onEndpointDeparted(event.id);
        peerMesh.hurry();
      }
      if (event.kind === 'gone') {
        pool.forget(event.id);
        knowledge.forget(event.id);
        surveyPlan.remove(event.id);
      } else if (event.kind === 'restarted') {
        pool.forget(event.entry.id);
        knowledge.forget(event.entry.id);
      }
    }
  }

  #registerGauges(): void {
    const {
      gatewayMetrics,
      forwarder,
      callerServer,
      routes,
      log,
      pool,
      directory,
    } = this.#parts;
    gatewayMetrics.gauge(
      'requests_running',
      'Requests under way.',
      () => forwarder.running,
    );
    gatewayMetrics.gauge(
      'caller_connections',
      'Connections of callers.',
      () => callerServer.connections,
    );
    gatewayMetrics.gauge(
      'configuration_version',
      'Version in force.',
      () => routes.version ?? 0,
    );
    gatewayMetrics.gauge(
      'log_lines_dropped',
      'Log lines not written.',
      () => log.dropped,
    );
    gatewayMetrics.gauge(
      'channels_opened',
      'Connections opened to endpoints.',
      () => pool.opened,
    );
    gatewayMetrics.gauge(
      'peers_connected',
      'Routers that news come from.',
      () => this.#parts.peerMesh.connected,
    );
    gatewayMetrics.gauge(
      'peer_bytes',
      'Bytes exchanged with routers.',
      () => this.#parts.peerMesh.bytes,
    );
    gatewayMetrics.gauge('endpoints', 'Endpoints known.', () => directory.size);
  }
}
