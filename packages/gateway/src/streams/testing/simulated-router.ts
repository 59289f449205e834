/** One router of a simulated fleet, composed of the classes that find out where streams began. */
import { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import { EndpointReplica } from '@sesamegrade/core/endpoints/endpoint-replica';
import type { EndpointRow } from '@sesamegrade/core/endpoints/endpoint-replica';
import type { TopicEntries } from '@sesamegrade/core/gossip/gossip-scheduler';
import { StreamUpdates } from '@sesamegrade/core/peers/stream-updates';
import type { Random } from '@sesamegrade/core/random/random';
import { StreamAdmission } from '@sesamegrade/core/software-versions/stream-admission';
import { StreamOrigins } from '@sesamegrade/core/software-versions/stream-origins';
import {
  streamLifetime,
  VersionHistory,
} from '@sesamegrade/core/software-versions/version-history';
import { FeedCoverage } from '@sesamegrade/core/store/feed-coverage';
import type { Revision } from '@sesamegrade/core/store/feed-position';
import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import { routerId } from '@sesamegrade/core/types/ids';
import type { RouterId } from '@sesamegrade/core/types/ids';
import { succeed } from '@sesamegrade/core/types/result';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { DecisionLog } from '../../logs/decision-log';
import { EndpointConfirmation } from '../../store/endpoint-confirmation';
import type { FeedPage } from '../../store/feed-source';
import { HistoryCompletion } from '../history-completion';
import { StoredVersions } from '../stored-versions';
import { StreamLedger } from '../stream-ledger';
import { StreamResumption } from '../stream-resumption';
import type { EndpointTable } from './endpoint-table';
import { callStore, ReachedTable } from './memory-table';
import type { MemoryTable, StoreReach } from './memory-table';

/** Time within which peers pass on changed rows. */
export const MAX_LAG: Milliseconds = milliseconds(100);
export const RELAYS: readonly [RouterId, RouterId] = [
  routerId('r-0'),
  routerId('r-1'),
];
const [READER] = RELAYS;
const TICK_PERIOD: Milliseconds = milliseconds(250);
/** Time between attempts of a router that has just started to read the list of routers. */
const LIST_RETRY_PERIOD: Milliseconds = seconds(1);
/** Time for which the store keeps changes. */
const HISTORY: Milliseconds = seconds(20);
const DEPARTURE_BOUND: Milliseconds = seconds(2);
const LONGEST_TIMEOUT: Milliseconds = seconds(15);

export interface SimulatedStore {
  readonly endpoints: EndpointTable;
  readonly versionRows: MemoryTable;
  readonly streamRows: MemoryTable;
}

export interface SimulatedRouterOptions {
  readonly id: RouterId;
  readonly store: SimulatedStore;
  readonly random: Random;
  readonly isFirstStart: boolean;
  /** The store's clock in milliseconds. */
  readonly clock: () => number;
  readonly reach: (router: SimulatedRouter) => StoreReach;
  /** Sends a message to a peer; returns false if it is not connected. */
  readonly send: (
    from: SimulatedRouter,
    peer: RouterId,
    topics: TopicEntries,
  ) => boolean;
  readonly sendToAll: (from: SimulatedRouter, topics: TopicEntries) => void;
  readonly requestVersions: (
    from: SimulatedRouter,
    relay: RouterId,
  ) => Promise<unknown>;
}

export class SimulatedRouter {
  readonly id: RouterId;
  readonly timers = new ManualTimerService();
  readonly directory = new EndpointDirectory();
  readonly updates: StreamUpdates;
  readonly admission: StreamAdmission;
  readonly confirmation: EndpointConfirmation;
  readonly resumption: StreamResumption;
  /** Time by which this router learns late of changed rows. */
  readonly lag: number;
  /** When it was cut off from the store and its peers. */
  cutAt: number | undefined;
  /** Until when its connections to peers are not back. */
  apartUntil = 0;
  /** Time by which the store's answers to its reads of the endpoints are behind. */
  storeLag = 0;
  /** Whether the store rejects its calls while its peers are reachable. */
  isTurnedAway = false;
  isFrozen = false;
  readonly #options: SimulatedRouterOptions;
  readonly #versionRows: ReachedTable;
  readonly #coverage: FeedCoverage;
  readonly #replica: EndpointReplica;
  readonly #storedVersions: StoredVersions;
  readonly #historyCompletion: HistoryCompletion;
  readonly #streamLedger: StreamLedger;
  readonly #backgroundTasks = new BackgroundTasks(({ error }) => {
    throw error;
  });
  #hasReadVersions = false;

  constructor(options: SimulatedRouterOptions) {
    const { id, random, store, isFirstStart } = options;
    this.#options = options;
    this.id = id;
    this.lag = random.pick([0, MAX_LAG / 2, MAX_LAG]);
    this.#versionRows = this.#reachedTable(store.versionRows);
    this.#coverage = new FeedCoverage({ bound: DEPARTURE_BOUND, random });
    this.#replica = new EndpointReplica(this.directory, this.#coverage);
    const versionHistory = new VersionHistory(() =>
      streamLifetime([LONGEST_TIMEOUT]),
    );
    this.#replica.onFirstList(at => {
      versionHistory.markListed(at);
    });
    this.#replica.onMissedChanges(before => {
      versionHistory.markMissed(before);
    });
    const streamOrigins = new StreamOrigins(versionHistory, {
      isShared: () => false,
    });
    this.updates = new StreamUpdates({ streamOrigins, versionHistory });
    const shared = {
      versionHistory,
      streamOrigins,
      endpointDirectory: this.directory,
      fleetReplica: { isReader: id === READER },
      timers: this.timers,
      backgroundTasks: this.#backgroundTasks,
      log: { write: () => undefined } as unknown as DecisionLog,
    };
    this.#storedVersions = new StoredVersions({
      ...shared,
      peerUpdates: { isRelay: RELAYS.includes(id) },
      random,
      settings: { router: { first_start: isFirstStart } },
      routerRows: this.#versionRows,
    });
    this.#storedVersions.onRecorded(recorded => {
      this.updates.onRecorded(recorded);
      options.sendToAll(this, this.updates.takeChanges());
    });
    this.#streamLedger = new StreamLedger({
      ...shared,
      streamRows: this.#reachedTable(store.streamRows),
      streamUpdates: this.updates,
      peerMesh: {
        relays: [READER],
        sendTo: (peer, topics) => options.send(this, peer, topics),
      },
    });
    this.admission = new StreamAdmission(versionHistory);
    const asking = {
      settings: { router: { id } },
      peerMesh: {
        relays: RELAYS,
        requestVersions: (relay: RouterId) =>
          options.requestVersions(this, relay),
      },
    };
    this.#historyCompletion = new HistoryCompletion({
      ...shared,
      ...asking,
      storedVersions: this.#storedVersions,
    });
    this.confirmation = new EndpointConfirmation({
      ...shared,
      ...asking,
      endpointFeed: {
        readChanges: after =>
          callStore(options.reach(this), this.timers, () =>
            succeed(this.#page(after)),
          ),
      },
      coverage: { endpoints: this.#coverage },
      configurationConfirmation: {
        read: () => Promise.resolve(true),
        statement: () => undefined,
        isAsNewAs: () => true,
      },
      fleetReplica: {
        isHealthy: true,
        applyEndpointChanges: ({ rows, position }, madeAt) => {
          this.#applyChanges(
            rows.map(row => store.endpoints.change(row.revision)),
          );
          this.#coverage.record({ origin: id, position, confirmedAt: madeAt });
        },
      },
    });
    this.resumption = new StreamResumption({
      ...shared,
      endpointConfirmation: this.confirmation,
      streamLedger: this.#streamLedger,
    });
  }

  /** Reads the tables if the store answers, and begins to work. */
  async start(listsEndpoints = true): Promise<void> {
    if (this.#options.reach(this) === 'answers') {
      await this.#readVersions();
      if (listsEndpoints) {
        this.applyRows(this.#options.clock());
      }
    }
    this.timers.every(LIST_RETRY_PERIOD, () => {
      if (!this.#hasReadVersions) {
        this.#backgroundTasks.run('read-rows', () => this.#readVersions());
      }
    });
    this.timers.every(TICK_PERIOD, now => {
      this.directory.tick(now);
      this.#storedVersions.tick(now);
      this.#historyCompletion.tick(now);
      this.#streamLedger.tick(now);
    });
  }

  /** Applies the rows that the store had at a time. */
  applyRows(at: number): void {
    const { endpoints } = this.#options.store;
    const now = this.timers.now();
    const known = this.#coverage.position;
    const position = endpoints.position(at);
    if (known && position.revision <= known.revision) {
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
    return store.endpoints.position(clock() - HISTORY).revision > after;
  }

  async #readVersions(): Promise<void> {
    const rows = await this.#versionRows.readAll();
    if (rows.ok) {
      this.#hasReadVersions = true;
      this.#storedVersions.onRows(rows.value);
    }
  }

  #page(after: Revision): FeedPage {
    const { store, clock } = this.#options;
    const at = clock() - this.storeLag;
    return {
      rows: store.endpoints.changes(after, at).map(({ id, revision }) => ({
        key: id,
        value: undefined,
        revision,
      })),
      position: store.endpoints.position(at),
    };
  }

  #reachedTable(table: MemoryTable): ReachedTable {
    const { reach, clock, store } = this.#options;
    return new ReachedTable({
      table,
      reach: () => reach(this),
      timers: this.timers,
      position: () => store.endpoints.position(clock()),
      clock,
    });
  }
}
