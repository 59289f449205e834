/**
 * Requests the lists of cached prompt parts from engines, when it is this
 * router's turn, and shares them with peers.
 */
import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { EvacuatedZones } from '@sesamegrade/core/endpoints/evacuated-zones';
import type { CacheSurveyPlan } from '@sesamegrade/core/engines/cache-survey-plan';
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import type { FleetState } from '@sesamegrade/core/forwarding/fleet-state';
import type { PeerUpdates } from '@sesamegrade/core/peers/peer-updates';
import type { RouterDirectory } from '@sesamegrade/core/peers/router-directory';
import type { RouteTable } from '@sesamegrade/core/routes/route-table';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { routerId } from '@sesamegrade/core/types/ids';
import type { EndpointId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import type { DecisionLog } from '../logs/decision-log';
import type { FleetReadiness } from '../store/fleet-readiness';
import type { ConnectionPool } from './connection-pool';
import type { EndpointProtocol } from './endpoint-protocol';
import { queryEndpoint } from './endpoint-query';

/** Timeout of a request for a list; an engine builds it between two of its steps. */
const RESPONSE_TIMEOUT: Milliseconds = milliseconds(1500);
/** Largest list of cached prompt parts. */
const MAX_LIST_BYTES = 8_388_608;
const STATUS_OK = 200;

export interface CacheSurveyOptions {
  readonly settings: GatewaySettings;
  readonly surveyPlan: CacheSurveyPlan;
  readonly routerDirectory: RouterDirectory;
  readonly fleetReadiness: FleetReadiness;
  readonly peerUpdates: PeerUpdates;
  readonly endpointDirectory: EndpointDirectory;
  readonly evacuatedZones: EvacuatedZones;
  readonly routes: RouteTable;
  readonly fleetState: FleetState;
  readonly connectionPool: ConnectionPool;
  readonly endpointProtocol: EndpointProtocol;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
  readonly log: DecisionLog;
}

export class CacheSurvey {
  readonly #options: CacheSurveyOptions;

  constructor(options: CacheSurveyOptions) {
    this.#options = options;
    const { evacuatedZones, surveyPlan } = options;
    evacuatedZones.onChanged(({ removed }, now) => {
      if (removed.length > 0 && surveyPlan.hasBegun) {
        // The routers take turns anew: with all turns over they would query an engine at once.
        surveyPlan.begin([], now);
      }
    });
  }

  /** Requests the lists that are due; does nothing until the engines and the routers are known. */
  tick(now: Instant): void {
    const {
      surveyPlan,
      routerDirectory,
      fleetReadiness,
      endpointDirectory,
      evacuatedZones,
      backgroundTasks,
    } = this.#options;
    if (!fleetReadiness.isReady || !routerDirectory.isListRead) {
      return;
    }
    if (!surveyPlan.hasBegun) {
      surveyPlan.begin(this.#earlierEngines(), now);
    }
    const routers = [
      routerId(this.#options.settings.router.id),
      ...routerDirectory.ids,
    ];
    const engines = surveyPlan
      .takeEnginesToQuery(routers, now, id => {
        const zone = endpointDirectory.get(id)?.zone;
        return zone === undefined || !evacuatedZones.includes(zone);
      })
      .map(id => endpointDirectory.get(id))
      .filter((entry): entry is EndpointEntry => entry !== undefined);
    for (const engine of engines) {
      backgroundTasks.run('cache-survey', () => this.#survey(engine));
    }
  }

  /**
   * Engines that were running before this router; at the fleet's first start
   * their caches are empty.
   */
  #earlierEngines(): EndpointId[] {
    const { settings, endpointDirectory, routes } = this.#options;
    if (settings.router.first_start) {
      return [];
    }
    return endpointDirectory
      .all()
      .filter(({ service }) => routes.service(service)?.engine !== undefined)
      .map(({ id }) => id);
  }

  async #survey(engine: EndpointEntry): Promise<void> {
    const { endpointProtocol, fleetState, surveyPlan, peerUpdates, log } =
      this.#options;
    const body = await this.#fetch(engine);
    const list = body && endpointProtocol.readCacheList(body);
    if (!list?.ok) {
      log.write('cache-list-missing', {
        endpoint: engine.id,
        failure: list?.failure ?? { kind: 'no-answer' },
      });
      return;
    }
    for (const part of list.value) {
      fleetState.onPartCached(engine.id, part);
    }
    surveyPlan.markKnown(engine.id);
    peerUpdates.onEngineSurveyed(engine.id);
    log.write('cache-list', { endpoint: engine.id, parts: list.value.length });
  }

  async #fetch(engine: EndpointEntry): Promise<Buffer | undefined> {
    const { connectionPool, endpointProtocol, fleetState, timers } =
      this.#options;
    const response = await queryEndpoint({
      connection: connectionPool.take(engine, true, RESPONSE_TIMEOUT),
      target: endpointProtocol.cacheListTarget,
      timers,
      timeout: RESPONSE_TIMEOUT,
      maxBytes: MAX_LIST_BYTES,
      onHead: (status, headers) => {
        fleetState.onStatement(
          engine,
          endpointProtocol.readResponse(status, headers),
          undefined,
        );
      },
    });
    return response?.status === STATUS_OK ? response.body : undefined;
  }
}
