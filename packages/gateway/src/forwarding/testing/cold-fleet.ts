/**
 * Model of a fleet without a network: routers that place requests at endpoints of which
 * some turn cold, each router with its own late view of the list and of the load.
 */
import { ColdEndpoints } from '@sesamegrade/core/endpoint-limits/cold-endpoints';
import { EndpointLimits } from '@sesamegrade/core/endpoint-limits/endpoint-limits';
import { PermitRefusals } from '@sesamegrade/core/endpoint-limits/permit-refusals';
import { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import { EvacuatedZones } from '@sesamegrade/core/endpoints/evacuated-zones';
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import { RefusalHolds } from '@sesamegrade/core/endpoints/refusal-holds';
import { LoadEstimate } from '@sesamegrade/core/engines/load-estimate';
import { PartLocations } from '@sesamegrade/core/engines/part-locations';
import { EndpointChooser } from '@sesamegrade/core/forwarding/endpoint-chooser';
import { ServiceHealth } from '@sesamegrade/core/outliers/service-health';
import { RouterDirectory } from '@sesamegrade/core/peers/router-directory';
import { Random } from '@sesamegrade/core/random/random';
import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import {
  endpointId,
  incarnation,
  routerId,
  serviceId,
  teamId,
  zoneId,
} from '@sesamegrade/core/types/ids';
import type { EndpointId, RouterId } from '@sesamegrade/core/types/ids';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';
import { gatewaySettingsSchema } from '@sesamegrade/settings/gateway-schema';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import { GatewayMetrics } from '../../metrics/gateway-metrics';
import { FleetPermits } from '../../permits/fleet-permits';
import { AttemptPlacement } from '../attempt-placement';

const SERVICE = serviceId('engines');
const COLD_ZONE = zoneId('zone-c');
const COLD_TIME = seconds(3);
const COLD_PER_SECOND = 9.3;
export const OVERAGE = 1.5;
export const SLACK = 5;
/** Most arrivals in a second that a cold endpoint tolerates. */
export const TOLERATED = COLD_PER_SECOND * OVERAGE + SLACK;
const WINDOW_MS = 1000;
/** Time from a change of the list or a zone to its arrival at a router. */
const VIEW_DELAY_MS = { least: 20, most: 250 };
/** Time between two reports of the endpoints' load to a router. */
const REPORT_PERIOD_MS = 400;
/** Time from a placement to the arrival, and from a router to a relay. */
const SEND_DELAY_MS = { least: 1, most: 30 };
const LINK_DELAY_MS = { least: 1, most: 3 };
const REQUEST_DURATION_MS = { least: 500, most: 1500 };
/** Time after which the routers replace a relay that is lost. */
const RELAY_REPLACEMENT_MS = 2000;
const START_MS = 2000;
const END_MS = START_MS + 3800;

export type ColdEvent =
  /** Endpoints are listed that did not exist. */
  | 'listed'
  /** The evacuation of their zone ends. */
  | 'reopened'
  /** They end, and start again under their ids. */
  | 'restarted'
  /** Their rows name a warm-up time, under the same start. */
  | 'warm-up';

export interface ColdFleetOptions {
  readonly routers: number;
  readonly warm: number;
  readonly cold: number;
  readonly perSecond: number;
  readonly seed: number;
  readonly event: ColdEvent;
  /** Whether cold endpoints are limited; false for the code before. */
  readonly isLimited: boolean;
  /** Time after the event at which both relays or the first one are lost. */
  readonly lost?: { readonly relays: 1 | 2; readonly afterMs: number };
  /** Share of the routers on the other side of a split, each side with an issuer. */
  readonly split?: number;
}

export interface ColdFleetResult {
  /** Most arrivals in a second at one endpoint while it was cold. */
  readonly most: number;
  readonly placed: number;
  readonly refused: number;
  /** Arrivals at cold endpoints. */
  readonly atCold: number;
  /** Most queries in a second at all issuers. */
  readonly queries: number;
}

interface Endpoint {
  entry: EndpointEntry;
  readonly isCold: boolean;
  running: number;
  readonly arrivals: number[];
}

interface Router {
  readonly id: RouterId;
  readonly index: number;
  readonly directory: EndpointDirectory;
  readonly coldEndpoints: ColdEndpoints;
  readonly loads: LoadEstimate;
  readonly placement: AttemptPlacement;
  readonly permits: FleetPermits;
  seesZone: boolean;
}

export class ColdFleet {
  readonly #options: ColdFleetOptions;
  readonly #random: Random;
  readonly #timers = new ManualTimerService();
  readonly #metrics = new GatewayMetrics();
  readonly #routerDirectory = new RouterDirectory();
  readonly #endpoints = new Map<EndpointId, Endpoint>();
  readonly #routers: Router[];
  readonly #queries: number[] = [];
  /** Changes with each restart, so that the requests of a former instance do not end twice. */
  #instance = 0;
  #placed = 0;
  #refused = 0;

  constructor(options: ColdFleetOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
    for (let index = 0; index < options.warm + options.cold; index += 1) {
      const isCold = index >= options.warm;
      const entry = entryOf(index, isCold);
      this.#endpoints.set(entry.id, {
        entry,
        isCold,
        running: 0,
        arrivals: [],
      });
    }
    this.#routerDirectory.markListRead();
    for (let index = 1; index < options.routers; index += 1) {
      this.#routerDirectory.add(
        {
          id: routerIdOf(index),
          incarnation: incarnation(1),
          zone: zoneId('zone-a'),
          address: { host: '10.0.0.1', port: index },
          power: 1,
        },
        this.#timers.now(),
      );
    }
    const settings = gatewaySettingsSchema.parse({
      router: {
        id: 'router',
        zone: 'zone-a',
        callers: '127.0.0.1:1',
        ready: '127.0.0.1:2',
        ready_path: '/ready',
        peers: '127.0.0.1:3',
        metrics_port: 4,
      },
      store: { address: '127.0.0.1:5' },
      stop: { grace_seconds: 8 },
      retries: { ratio: 0.2, window_seconds: 10, slack: 126 },
    });
    this.#routers = Array.from({ length: options.routers }, (_value, index) =>
      this.#newRouter(index, settings),
    );
  }

  async run(): Promise<ColdFleetResult> {
    this.#timers.after(milliseconds(START_MS), () => {
      this.#startEvent();
    });
    const errors: unknown[] = [];
    let due = 0;
    for (let now = 0; now < END_MS; now += 1) {
      this.#timers.advance(milliseconds(1));
      for (due += this.#options.perSecond / 1000; due >= 1; due -= 1) {
        this.#send(this.#random.pick(this.#routers)).catch((error: unknown) => {
          errors.push(error);
        });
      }
      await new Promise(resolve => {
        setImmediate(resolve);
      });
    }
    if (errors.length > 0) {
      throw new AggregateError(errors, 'requests were not placed');
    }
    const arrivals = [...this.#endpoints.values()]
      .filter(({ isCold }) => isCold)
      .map(endpoint =>
        endpoint.arrivals.filter(
          at => at >= START_MS && at < START_MS + COLD_TIME,
        ),
      );
    return {
      most: Math.max(...arrivals.map(mostWithin)),
      placed: this.#placed,
      refused: this.#refused,
      atCold: arrivals.flat().length,
      queries: mostWithin(this.#queries),
    };
  }

  #newRouter(index: number, routerSettings: GatewaySettings): Router {
    const id = routerIdOf(index);
    const settings = {
      ...routerSettings,
      router: { ...routerSettings.router, id },
    };
    const timers = this.#timers;
    const random = new Random(this.#random.seed());
    const directory = new EndpointDirectory();
    const coldEndpoints = new ColdEndpoints({
      service: () => ({
        coldTime: COLD_TIME,
        coldRequestsPerSecond: COLD_PER_SECOND,
      }),
      wallTime: () => timers.wallTime(),
      overage: OVERAGE,
      slack: SLACK,
    });
    const endpointLimits = new EndpointLimits(
      this.#options.isLimited ? coldEndpoints : undefined,
    );
    const permitRefusals = new PermitRefusals(() => this.#options.routers);
    const loads = new LoadEstimate();
    const health = new ServiceHealth();
    const chooser = new EndpointChooser({
      endpointDirectory: directory,
      loads,
      locations: new PartLocations(),
      health,
      holds: new RefusalHolds(),
      evacuatedZones: new EvacuatedZones(),
      endpointLimits,
      permitRefusals,
      streamAdmission: { prefer: pool => pool },
      random,
      zone: zoneId('zone-a'),
      unreported: () => 0,
    });
    const permits = new FleetPermits({
      settings,
      endpointLimits,
      routerDirectory: this.#routerDirectory,
      loads,
      peerMesh: this.#meshOf(index),
      timers,
      backgroundTasks: new BackgroundTasks(() => undefined),
      random,
      log: { write: () => undefined },
      gatewayMetrics: this.#metrics,
    });
    const placement = new AttemptPlacement({
      settings,
      chooser,
      endpointLimits,
      permitRefusals,
      fleetPermits: permits,
      timers,
    });
    directory.onEntry((entry, now, isFirstList) => {
      coldEndpoints.onEntry(entry, now, isFirstList);
    });
    coldEndpoints.onChanged(({ kind, endpoint }) => {
      if (kind === 'warm') {
        permitRefusals.remove(endpoint);
      }
    });
    const isKnown = this.#options.event !== 'listed';
    const listed = [...this.#endpoints.values()]
      .filter(({ isCold }) => isKnown || !isCold)
      .map(({ entry }) => entry);
    directory.replace(listed, timers.now());
    health.onEndpointsChanged(listed, timers.now());
    timers.every(milliseconds(250), now => {
      coldEndpoints.tick(now);
    });
    timers.after(milliseconds(this.#random.integer(1, REPORT_PERIOD_MS)), () =>
      timers.every(milliseconds(REPORT_PERIOD_MS), now => {
        for (const [endpoint, { running }] of this.#endpoints) {
          loads.onLoadReport(endpoint, running, now);
        }
      }),
    );
    return {
      id,
      index,
      directory,
      coldEndpoints,
      loads,
      placement,
      permits,
      seesZone: this.#options.event !== 'reopened',
    };
  }

  #meshOf(
    index: number,
  ): ConstructorParameters<typeof FleetPermits>[0]['peerMesh'] {
    const relays = () => this.#relaysOf(index);
    const subscribers = () => this.#sideOf(index) - 1;
    return {
      get relays() {
        return relays();
      },
      get subscriberCount() {
        return subscribers();
      },
      requestPermit: async (relay, query) => {
        this.#queries.push(this.#timers.now());
        await this.#delay(LINK_DELAY_MS);
        const answer = await this.#reached(relay).permits.answerPeer(
          routerIdOf(index),
          query,
        );
        await this.#delay(LINK_DELAY_MS);
        this.#reached(relay);
        return answer;
      },
      releasePermit: () => Promise.resolve(undefined),
    };
  }

  #isOther(index: number): boolean {
    const { split = 0, routers } = this.#options;
    return split > 0 && index % routers >= routers * (1 - split);
  }

  /** Number of routers on the side of one. */
  #sideOf(index: number): number {
    const other = Math.floor(
      this.#options.routers * (this.#options.split ?? 0),
    );
    return this.#isOther(index) ? other : this.#options.routers - other;
  }

  /** The relays of a router, first one first: the first two routers of its side that it has not missed. */
  #relaysOf(index: number): RouterId[] {
    const { lost, routers } = this.#options;
    const first = this.#isOther(index) ? routers - this.#sideOf(index) : 0;
    const isReplaced =
      lost !== undefined &&
      this.#timers.now() >= START_MS + lost.afterMs + RELAY_REPLACEMENT_MS;
    const offset = isReplaced ? lost.relays : 0;
    return [0, 1].map(at => routerIdOf(first + offset + at));
  }

  /** The router of an id; throws if it is lost. */
  #reached(id: RouterId): Router {
    const { lost } = this.#options;
    const router = this.#routers.find(each => each.id === id);
    const isLost =
      lost !== undefined &&
      this.#timers.now() >= START_MS + lost.afterMs &&
      router !== undefined &&
      router.index < lost.relays;
    if (!router || isLost) {
      throw new Error(`${id} is lost`);
    }
    return router;
  }

  #startEvent(): void {
    const { event } = this.#options;
    for (const [id, endpoint] of this.#endpoints) {
      if (!endpoint.isCold) {
        continue;
      }
      const { entry } = endpoint;
      endpoint.entry = {
        ...entry,
        warmUp: event === 'warm-up' ? COLD_TIME : entry.warmUp,
        startedAt: event === 'restarted' ? 1 : entry.startedAt,
      };
      if (event === 'restarted') {
        this.#instance += 1;
        endpoint.running = 0;
      }
      for (const router of this.#routers) {
        this.#timers.after(this.#pick(VIEW_DELAY_MS), now => {
          if (event === 'reopened') {
            router.seesZone = true;
            router.coldEndpoints.onZonesReopened([COLD_ZONE], now);
          } else {
            router.directory.apply({ id, entry: endpoint.entry }, now);
          }
          if (event === 'restarted') {
            router.permits.forget(id);
            router.loads.removeEndpoint(id);
          }
        });
      }
    }
  }

  async #send(router: Router): Promise<void> {
    const result = await router.placement.place(
      {
        service: SERVICE,
        prompt: undefined,
        tried: new Set(),
        repeatable: true,
        accepts: ({ zone }) => router.seesZone || zone !== COLD_ZONE,
      },
      {
        team: teamId(''),
        rank: 0,
        goal: milliseconds(1000),
        remaining: milliseconds(4000),
      },
    );
    if (result.kind === 'none') {
      this.#refused += 1;
      return;
    }
    this.#placed += 1;
    const { id } = result.choice.entry;
    const endpoint = this.#endpoints.get(id);
    router.loads.onRequestStarted(id);
    await this.#delay(SEND_DELAY_MS);
    endpoint?.arrivals.push(this.#timers.now());
    if (endpoint) {
      endpoint.running += 1;
    }
    const instance = this.#instance;
    await this.#delay(REQUEST_DURATION_MS);
    router.loads.onRequestEnded(id);
    if (endpoint && (!endpoint.isCold || instance === this.#instance)) {
      endpoint.running -= 1;
    }
  }

  #delay(range: typeof LINK_DELAY_MS): Promise<void> {
    return new Promise(resolve => {
      this.#timers.after(this.#pick(range), () => {
        resolve();
      });
    });
  }

  #pick({ least, most }: typeof LINK_DELAY_MS) {
    return milliseconds(this.#random.integer(least, most));
  }
}

function entryOf(index: number, isCold: boolean): EndpointEntry {
  return {
    id: endpointId(`e-${index}`),
    service: SERVICE,
    address: { host: '10.0.0.1', port: 1 + index },
    zone: isCold ? COLD_ZONE : zoneId(index % 2 === 0 ? 'zone-a' : 'zone-b'),
    slots: 64,
    leaving: false,
    warmUp: milliseconds(0),
    // Long before the routers' first list.
    startedAt: -100_000,
    softwareVersion: undefined,
  };
}

const routerIdOf = (index: number) => routerId(`router-${index}`);

function mostWithin(times: readonly number[]): number {
  const sorted = times.toSorted((left, right) => left - right);
  let most = 0;
  let first = 0;
  sorted.forEach((time, index) => {
    while (time - (sorted[first] ?? time) >= WINDOW_MS) {
      first += 1;
    }
    most = Math.max(most, index - first + 1);
  });
  return most;
}
