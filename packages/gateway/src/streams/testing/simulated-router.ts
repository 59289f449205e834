/** One router of a simulated fleet, composed of the classes that find out where streams began. */
import { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import { EndpointReplica } from '@sesamegrade/core/endpoints/endpoint-replica';
import type { EndpointRow } from '@sesamegrade/core/endpoints/endpoint-replica';
import type { Route } from '@sesamegrade/core/routes/fleet-configuration';
import {
  MAX_CONFIGURATION_DELAY,
  RouteHistory,
} from '@sesamegrade/core/routes/route-history';
import { DefaultVersions } from '@sesamegrade/core/software-versions/default-versions';
import type { Random } from '@sesamegrade/core/random/random';
import { StreamAdmission } from '@sesamegrade/core/software-versions/stream-admission';
import { StreamOrigins } from '@sesamegrade/core/software-versions/stream-origins';
import { routedLifetime } from '@sesamegrade/core/software-versions/stream-lifetime';
import type { FleetConfiguration } from '@sesamegrade/core/routes/fleet-configuration';
import { FeedCoverage } from '@sesamegrade/core/store/feed-coverage';
import type { Revision } from '@sesamegrade/core/store/feed-position';
import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import { configurationVersion, routerId } from '@sesamegrade/core/types/ids';
import type { RouterId } from '@sesamegrade/core/types/ids';
import {
  addTime,
  instant,
  milliseconds,
  seconds,
} from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { DecisionLog } from '../../logs/decision-log';
import { DefaultVersionKeeper } from '../default-version-keeper';
import { OriginConfirmation } from '../origin-confirmation';
import { OriginSharing } from '../origin-sharing';
import { OriginTable } from '../origin-table';
import { OriginWriter } from '../origin-writer';
import { routingName } from '../routing-name';
import { StreamLedger } from '../stream-ledger';
import { StreamResumption } from '../stream-resumption';
import { SuccessorAgreement } from '../successor-agreement';
import type { EndpointTable } from './endpoint-table';
import { ReachedFeed, ReachedTable } from './memory-table';
import type {
  MemoryTable,
  ReachedTableOptions,
  RevisionCounter,
  StoreReach,
} from './memory-table';

/** Time within which peers pass on changed rows. */
export const MAX_LAG: Milliseconds = milliseconds(100);
export const RELAYS: readonly [RouterId, RouterId] = [
  routerId('r-0'),
  routerId('r-1'),
];
const [READER] = RELAYS;
const TICK_PERIOD: Milliseconds = milliseconds(250);
/** Time for which the store keeps changes. */
const HISTORY: Milliseconds = seconds(20);
const DEPARTURE_BOUND: Milliseconds = seconds(2);

export interface SimulatedStore {
  readonly endpoints: EndpointTable;
  readonly counter: RevisionCounter;
  readonly streamRows: MemoryTable;
}

/** What routers send, and how long the store takes for it. */
export interface SimulatedTraffic {
  /** Time in ms that a call to the store takes. */
  callTime: number;
  onRecords(from: RouterId, relay: RouterId, message: unknown): void;
  onWritten(writer: RouterId, key: string, size: number): void;
  onRead(reader: RouterId, size: number): void;
}

export interface SimulatedRouterOptions {
  readonly id: RouterId;
  readonly store: SimulatedStore;
  readonly random: Random;
  readonly isFirstStart: boolean;
  /** The longest timeout of a route of streams in the configuration. */
  readonly longestTimeout: () => Milliseconds;
  /** Time in milliseconds. */
  readonly clock: () => number;
  /** The store's clock in milliseconds, which may step. */
  readonly storeClock: () => number;
  readonly reach: (router: SimulatedRouter) => StoreReach;
  /** Whether the store has lately answered any router. */
  readonly isInTouch: () => boolean;
  /** The other routers of the fleet, also those that are cut off. */
  readonly others: () => RouterId[];
  /** The relays that a router is connected to, itself included. */
  readonly relays: (router: SimulatedRouter) => readonly RouterId[];
  /** When a router was connected to another one; undefined if it is not. */
  readonly connectedAt: (
    router: SimulatedRouter,
    peer: RouterId,
  ) => Instant | undefined;
  readonly traffic: SimulatedTraffic;
  /** Asks a relay, whose answer never comes if either router is cut off or stands still. */
  readonly ask: (
    from: SimulatedRouter,
    relay: RouterId,
    question: (relay: SimulatedRouter) => Promise<unknown>,
  ) => Promise<unknown>;
}

export class SimulatedRouter {
  readonly id: RouterId;
  readonly timers: ManualTimerService;
  readonly directory = new EndpointDirectory();
  readonly defaults = new DefaultVersions();
  readonly admission: StreamAdmission;
  readonly confirmation: OriginConfirmation;
  readonly ledger: StreamLedger;
  readonly sharing: OriginSharing;
  readonly resumption: StreamResumption;
  readonly routeHistory: RouteHistory;
  /** Time by which this router learns late of changed rows. */
  readonly lag: number;
  /** When it was cut off from the store and its peers. */
  cutAt: number | undefined;
  /** Until when its connections to peers are not back. */
  apartUntil = 0;
  /** Time by which the store's answers to its reads are behind. */
  storeLag = 0;
  /** Whether the store rejects its calls while its peers are reachable. */
  isTurnedAway = false;
  isFrozen = false;
  readonly #options: SimulatedRouterOptions;
  readonly #coverage: FeedCoverage;
  readonly #replica: EndpointReplica;
  readonly #keeper: DefaultVersionKeeper;
  readonly #lifetime: () => Milliseconds;
  #routes: readonly Route[] | undefined;
  readonly #backgroundTasks = new BackgroundTasks(({ error }) => {
    throw error;
  });

  constructor(options: SimulatedRouterOptions) {
    const { id, random, store, isFirstStart } = options;
    const relays = () => options.relays(this);
    const { isInTouch } = options;
    this.#options = options;
    this.timers = new ManualTimerService(instant(0), options.clock());
    this.id = id;
    this.lag = random.pick([0, MAX_LAG / 2, MAX_LAG]);
    this.#coverage = new FeedCoverage({ bound: DEPARTURE_BOUND, random });
    this.#replica = new EndpointReplica(this.directory, this.#coverage);
    this.#replica.onMissedChanges(() => {
      this.#keeper.markMissed();
    });
    const routes = {
      version: configurationVersion(1),
      get configuration() {
        return configurationWith(options.longestTimeout());
      },
    };
    const lifetime = routedLifetime(routes, this.timers);
    this.#lifetime = lifetime;
    this.routeHistory = new RouteHistory(lifetime, routingName);
    const shared = {
      streamLifetime: lifetime,
      routeHistory: this.routeHistory,
      streamOrigins: new StreamOrigins(lifetime),
      defaultVersions: this.defaults,
      endpointDirectory: this.directory,
      fleetReplica: { isReader: id === READER },
      peerUpdates: { isRelay: RELAYS.includes(id) },
      routes,
      routerDirectory: {
        isListRead: true,
        get ids() {
          return options.others();
        },
      },
      settings: { router: { id, first_start: isFirstStart } },
      coverage: {
        endpoints: this.#coverage,
        configuration: { position: undefined },
      },
      streamRows: this.#reached(store.streamRows, ReachedTable),
      streamFeed: this.#reached(store.streamRows, ReachedFeed),
      peerMesh: {
        get relays() {
          return relays();
        },
        requestOrigin: (relay: RouterId, query: unknown) =>
          options.ask(this, relay, peer => peer.confirmation.answer(query)),
        requestRecording: (relay: RouterId, message: unknown) => {
          options.traffic.onRecords(id, relay, message);
          return options.ask(this, relay, peer =>
            peer.ledger.recordForPeer(message),
          );
        },
        connectedAt: (relay: RouterId) => options.connectedAt(this, relay),
        shareOrigins: (relay: RouterId, message: unknown) =>
          options.ask(this, relay, peer =>
            Promise.resolve(peer.sharing.keep(message)),
          ),
      },
      configurationConfirmation: {
        read: () => Promise.resolve(true),
        statement: () => undefined,
        isAsNewAs: () => true,
      },
      random,
      timers: this.timers,
      backgroundTasks: this.#backgroundTasks,
      log: { write: () => undefined } as unknown as DecisionLog,
    };
    const successorAgreement = new SuccessorAgreement(shared);
    const originTable = new OriginTable(shared);
    const originWriter = new OriginWriter({ ...shared, originTable });
    this.#keeper = new DefaultVersionKeeper({
      ...shared,
      originTable,
      successorAgreement,
    });
    this.confirmation = new OriginConfirmation({ ...shared, originTable });
    this.ledger = new StreamLedger({
      ...shared,
      originTable,
      originWriter,
      successorAgreement,
      originConfirmation: this.confirmation,
    });
    this.sharing = new OriginSharing({
      ...shared,
      processVerification: {
        get isInTouch() {
          return isInTouch();
        },
      },
    });
    this.admission = new StreamAdmission({
      ...shared,
      takesRecords: () => this.ledger.takesRecords,
    });
    this.resumption = new StreamResumption({
      ...shared,
      originConfirmation: this.confirmation,
    });
  }

  /** Reads the endpoints if the store answers, and begins to work. */
  start(listsEndpoints = true): void {
    if (this.#options.reach(this) === 'answers' && listsEndpoints) {
      this.applyRows(this.#options.clock());
    }
    this.sharing.start();
    this.timers.every(TICK_PERIOD, now => {
      this.directory.tick(now);
      this.#keeper.tick(now);
      this.ledger.tick(now);
    });
  }

  /** Puts routes in force as GatewayProcess does. */
  applyRoutes(routes: readonly Route[]): void {
    if (routes === this.#routes) {
      return;
    }
    this.#routes = routes;
    const now = this.timers.now();
    const length = milliseconds(this.#lifetime() + MAX_CONFIGURATION_DELAY);
    for (const service of this.routeHistory.record({ routes }, now)) {
      this.#keeper.inherit(service, addTime(now, length));
    }
    this.#keeper.tick(now);
  }

  /** Applies the rows that the store had at a time. */
  applyRows(at: number): void {
    const { endpoints } = this.#options.store;
    const now = this.timers.now();
    const known = this.#coverage.position;
    const position = this.#options.store.counter.position(at);
    if (known && position.revision <= known.revision) {
      this.#coverage.record({ origin: READER, position, confirmedAt: now });
      return;
    }
    if (!known || this.#isForgotten(known.revision)) {
      this.#replica.applyList(endpoints.rows(at), position, now);
    } else {
      this.#applyChanges(endpoints.changes(known.revision, at));
    }
    this.#coverage.record({ origin: READER, position, confirmedAt: now });
  }

  #applyChanges(rows: readonly EndpointRow[]): void {
    for (const row of rows) {
      this.#replica.applyChange(row, this.timers.now());
    }
  }

  /** Whether the store no longer keeps the changes after a revision. */
  #isForgotten(after: Revision): boolean {
    const { store, clock } = this.#options;
    return store.endpoints.lastRevision(clock() - HISTORY) > after;
  }

  #reached<Access>(
    table: MemoryTable,
    access: new (options: ReachedTableOptions) => Access,
  ): Access {
    const { reach, clock, storeClock, store, traffic } = this.#options;
    return new access({
      table,
      callTime: () => traffic.callTime,
      onWritten: (key, size) => {
        traffic.onWritten(this.id, key, size);
      },
      onRead: size => {
        traffic.onRead(this.id, size);
      },
      reach: () => reach(this),
      timers: this.timers,
      position: () => store.counter.position(clock() - this.storeLag),
      clock,
      storeClock,
    });
  }
}

function configurationWith(timeout: Milliseconds): FleetConfiguration {
  return {
    routes: [{ answer: { kind: 'stream' }, timeout }],
  } as unknown as FleetConfiguration;
}
