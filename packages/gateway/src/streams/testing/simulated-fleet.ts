/**
 * Routers that share the tables of a store and exchange messages; time passes in steps.
 * A router that is cut off notices it only after the limits of a real one.
 */
import { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import { EndpointReplica } from '@sesamegrade/core/endpoints/endpoint-replica';
import type { EndpointRow } from '@sesamegrade/core/endpoints/endpoint-replica';
import { StreamUpdates } from '@sesamegrade/core/peers/stream-updates';
import type { Random } from '@sesamegrade/core/random/random';
import { StreamAdmission } from '@sesamegrade/core/software-versions/stream-admission';
import { StreamOrigins } from '@sesamegrade/core/software-versions/stream-origins';
import {
  streamLifetime,
  VersionHistory,
} from '@sesamegrade/core/software-versions/version-history';
import { FeedCoverage } from '@sesamegrade/core/store/feed-coverage';
import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import {
  endpointId,
  requestId,
  routerId,
  serviceId,
  softwareVersion,
  zoneId,
} from '@sesamegrade/core/types/ids';
import type { RouterId, SoftwareVersion } from '@sesamegrade/core/types/ids';
import { succeed } from '@sesamegrade/core/types/result';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { DecisionLog } from '../../logs/decision-log';
import { EndpointConfirmation } from '../../store/endpoint-confirmation';
import type { FeedPage } from '../../store/feed-source';
import { StoredVersions } from '../stored-versions';
import { StreamLedger } from '../stream-ledger';
import { StreamResumption } from '../stream-resumption';
import type { OriginFinding } from '../stream-resumption';
import { EndpointTable } from './endpoint-table';
import { callStore, MemoryTable, ReachedTable } from './memory-table';
import type { StoreReach } from './memory-table';

export const service = serviceId('drafting');
export const ROUTERS = 4;
/** Time within which peers pass on changed rows. */
export const MAX_LAG: Milliseconds = milliseconds(100);
const STEP: Milliseconds = milliseconds(25);
const TICK_PERIOD: Milliseconds = milliseconds(250);
/** Time after which the connections to peers are back once a cut has healed. */
const RECONNECT_TIME: Milliseconds = milliseconds(1000);
/** Time between attempts of a router that has just started to read the list of routers. */
const LIST_RETRY_PERIOD: Milliseconds = seconds(1);
/** Time for which the store keeps changes. */
const HISTORY: Milliseconds = seconds(20);
const FIRST_ROUTER = routerId('r-0');
const RELAYS = [FIRST_ROUTER, routerId('r-1')];
const DEPARTURE_BOUND: Milliseconds = milliseconds(2000);

export interface Stream {
  readonly id: string;
  readonly version: SoftwareVersion;
  readonly beganAt: number;
}

export interface SimulatedRouter {
  readonly id: RouterId;
  readonly timers: ManualTimerService;
  readonly directory: EndpointDirectory;
  readonly replica: EndpointReplica;
  readonly coverage: FeedCoverage;
  readonly admission: StreamAdmission;
  readonly confirmation: EndpointConfirmation;
  readonly resumption: StreamResumption;
  readonly updates: StreamUpdates;
  /** Time by which this router learns late of changed rows. */
  readonly lag: number;
  /** When it was cut off from the store and its peers. */
  cutAt: number | undefined;
  /** Until when its connections to peers are not back. */
  apartUntil: number;
  /** Whether the store rejects its calls while its peers are reachable. */
  isTurnedAway: boolean;
  isFrozen: boolean;
}

export class SimulatedFleet {
  readonly routers: SimulatedRouter[] = [];
  readonly #random: Random;
  readonly #endpoints = new EndpointTable();
  readonly #versionRows = new MemoryTable();
  readonly #streamRows = new MemoryTable();
  #endpointCount = 0;
  #isFirstStart = true;
  now = 0;
  store: StoreReach = 'answers';

  constructor(random: Random) {
    this.#random = random;
  }

  get versions(): SoftwareVersion[] {
    return this.#endpoints.entries.flatMap(
      entry => entry.softwareVersion ?? [],
    );
  }

  addEndpoint(version: string): void {
    this.#endpointCount += 1;
    const entry: EndpointEntry = {
      id: endpointId(`e-${this.#endpointCount}`),
      service,
      address: { host: '10.0.0.1', port: this.#endpointCount },
      zone: zoneId('z'),
      slots: 8,
      leaving: false,
      warmUp: milliseconds(0),
      startedAt: this.now,
      softwareVersion: softwareVersion(version),
    };
    this.#endpoints.add(entry, this.now);
  }

  removeEndpoints(version: string, count: number): void {
    const leaving = this.#endpoints.entries
      .filter(entry => entry.softwareVersion === version)
      .slice(0, count);
    for (const { id } of leaving) {
      this.#endpoints.remove(id, this.now);
    }
  }

  async start(count: number): Promise<void> {
    for (let index = this.routers.length; index < count; index += 1) {
      await this.#startRouter(index);
    }
    this.#isFirstStart = false;
  }

  /** Ends routers with all that they know; they start again at once. */
  async restart(indexes: readonly number[]): Promise<void> {
    for (const index of indexes) {
      this.routers[index]?.timers.stop();
    }
    for (const index of indexes) {
      await this.#startRouter(index);
    }
  }

  /** Cuts a router off from the store and its peers, silently. */
  cut(index: number): void {
    this.#router(index).cutAt ??= this.now;
  }

  /** Ends a cut; the store is reached before the connections to peers are back. */
  heal(index: number): void {
    const router = this.#router(index);
    if (router.cutAt !== undefined) {
      router.cutAt = undefined;
      router.apartUntil = this.now + RECONNECT_TIME;
    }
  }

  /** Lets a router stand still; its timers fire before it hears of anything new. */
  async freeze(index: number, length: number): Promise<void> {
    const router = this.#router(index);
    router.isFrozen = true;
    await this.pass(length);
    router.isFrozen = false;
    router.timers.advance(milliseconds(length));
  }

  async pass(length: number): Promise<void> {
    for (let passed = 0; passed < length; passed += STEP) {
      this.now += STEP;
      for (const router of this.routers) {
        if (!router.isFrozen) {
          this.#passOnRows(router);
          router.timers.advance(STEP);
        }
      }
      await settle();
    }
  }

  /** Begins a stream at an endpoint that the router knows. */
  begin(router: SimulatedRouter, id: string): Stream | undefined {
    const existing = new Set(this.#endpoints.entries.map(entry => entry.id));
    const known = router.directory
      .usable(service)
      .filter(
        entry =>
          existing.has(entry.id) &&
          router.admission.accepts(entry, router.timers.now()),
      );
    if (known.length === 0 || router.isFrozen) {
      return undefined;
    }
    const version = this.#random.pick(known).softwareVersion;
    if (version === undefined) {
      return undefined;
    }
    router.resumption.recordBegin(requestId(id), service, version);
    return { id, version, beganAt: this.now };
  }

  /** What a router finds out about a stream that a caller resumes there. */
  async resume(router: SimulatedRouter, id: string): Promise<OriginFinding> {
    let result: OriginFinding | undefined;
    router.resumption
      .originOf(service, requestId(id))
      .then(finding => {
        result = finding;
      })
      .catch((error: unknown) => {
        throw error;
      });
    await settle();
    while (!result) {
      await this.pass(STEP);
    }
    return result;
  }

  #router(index: number): SimulatedRouter {
    const router = this.routers[index];
    if (!router) {
      throw new RangeError(`no router ${index}`);
    }
    return router;
  }

  #reach({ cutAt, isTurnedAway }: SimulatedRouter): StoreReach {
    if (cutAt !== undefined) {
      return 'silent';
    }
    return isTurnedAway ? 'rejects' : this.store;
  }

  #hasPeers({ cutAt, apartUntil, isFrozen }: SimulatedRouter): boolean {
    return cutAt === undefined && apartUntil <= this.now && !isFrozen;
  }

  /** Peers pass on the rows that they read. */
  #passOnRows(router: SimulatedRouter): void {
    if (this.#hasPeers(router)) {
      this.#applyRows(router, this.now - router.lag);
    }
    router.directory.tick(router.timers.now());
  }

  #applyRows(router: SimulatedRouter, at: number): void {
    const { replica, coverage, timers } = router;
    const now = timers.now();
    const known = coverage.position;
    const position = this.#endpoints.position(at);
    if (known && position.revision <= known.revision) {
      return;
    }
    if (!known || this.#isForgotten(known.revision)) {
      replica.applyList(this.#endpoints.rows(at), position, now);
    } else {
      this.#applyChanges(router, this.#endpoints.changes(known.revision, at));
    }
    coverage.record({ origin: FIRST_ROUTER, position, confirmedAt: now });
  }

  /** Whether the store no longer keeps the changes after a revision. */
  #isForgotten(after: FeedPage['position']['revision']): boolean {
    return this.#endpoints.position(this.now - HISTORY).revision > after;
  }

  #applyChanges(
    { replica, timers }: SimulatedRouter,
    rows: readonly EndpointRow[],
  ): void {
    for (const row of rows) {
      replica.applyChange(row, timers.now());
    }
  }

  async #startRouter(index: number): Promise<void> {
    const id = routerId(`r-${index}`);
    const timers = new ManualTimerService();
    const directory = new EndpointDirectory();
    const coverage = new FeedCoverage({
      bound: DEPARTURE_BOUND,
      random: this.#random,
    });
    const replica = new EndpointReplica(directory, coverage);
    const versionHistory = new VersionHistory(() =>
      streamLifetime([seconds(15)]),
    );
    replica.onMissedChanges(before => {
      versionHistory.markMissed(before);
    });
    const streamOrigins = new StreamOrigins(versionHistory);
    const updates = new StreamUpdates({ streamOrigins, versionHistory });
    const backgroundTasks = new BackgroundTasks(({ error }) => {
      throw error;
    });
    const log = { write: () => undefined } as unknown as DecisionLog;
    const fleetReplica = { isReader: index === 0 };
    const self = () => this.#router(index);
    const [versionRows, streamRows] = [this.#versionRows, this.#streamRows].map(
      table =>
        new ReachedTable({
          table,
          reach: () => this.#reach(self()),
          timers,
          position: () => this.#endpoints.position(this.now),
          clock: () => this.now,
        }),
    ) as [ReachedTable, ReachedTable];
    const storedVersions = new StoredVersions({
      settings: { router: { first_start: this.#isFirstStart } },
      routerRows: versionRows,
      versionHistory,
      endpointDirectory: directory,
      fleetReplica,
      timers,
      backgroundTasks,
      log,
    });
    storedVersions.onRecorded(recorded => {
      updates.onRecorded(recorded);
      this.#tellPeers(self());
    });
    const streamLedger = new StreamLedger({
      streamRows,
      streamOrigins,
      streamUpdates: updates,
      versionHistory,
      fleetReplica,
      peerMesh: {
        relays: [FIRST_ROUTER],
        sendTo: (peer, topics) => {
          const target = this.#peer(self(), peer);
          target?.updates.receive(topics, target.timers.now());
          return target !== undefined;
        },
      },
      timers,
      backgroundTasks,
      log,
    });
    const endpointConfirmation = new EndpointConfirmation({
      settings: { router: { id } },
      endpointDirectory: directory,
      versionHistory,
      peerMesh: {
        relays: RELAYS,
        requestVersions: relay => this.#requestVersions(self(), relay),
      },
      endpointFeed: {
        readChanges: after =>
          callStore(this.#reach(self()), timers, () =>
            succeed(this.#page(after)),
          ),
      },
      coverage: { endpoints: coverage },
      fleetReplica: {
        isHealthy: true,
        applyEndpointChanges: ({ rows, position }, madeAt) => {
          this.#applyChanges(
            self(),
            rows.map(row => this.#endpoints.change(row.revision)),
          );
          coverage.record({ origin: id, position, confirmedAt: madeAt });
        },
      },
      timers,
      backgroundTasks,
    });
    const router: SimulatedRouter = {
      id,
      timers,
      directory,
      replica,
      coverage,
      updates,
      lag: this.#random.pick([0, MAX_LAG / 2, MAX_LAG]),
      cutAt: undefined,
      apartUntil: 0,
      isTurnedAway: false,
      isFrozen: false,
      admission: new StreamAdmission({
        versionHistory,
        endpointDirectory: directory,
      }),
      confirmation: endpointConfirmation,
      resumption: new StreamResumption({
        endpointConfirmation,
        versionHistory,
        streamOrigins,
        streamLedger,
        timers,
      }),
    };
    this.routers[index] = router;
    let hasRead = false;
    const readRows = async () => {
      const rows = await versionRows.readAll();
      if (rows.ok) {
        hasRead = true;
        storedVersions.onRows(rows.value);
      }
    };
    if (this.#reach(router) === 'answers') {
      await readRows();
      this.#applyRows(router, this.now);
    } else {
      this.#passOnRows(router);
    }
    timers.every(LIST_RETRY_PERIOD, () => {
      if (!hasRead) {
        backgroundTasks.run('read-rows', readRows);
      }
    });
    timers.every(TICK_PERIOD, now => {
      storedVersions.tick(now);
      streamLedger.tick(now);
    });
  }

  #peer(from: SimulatedRouter, id: RouterId): SimulatedRouter | undefined {
    const target = this.routers.find(other => other.id === id);
    return target && this.#hasPeers(from) && this.#hasPeers(target)
      ? target
      : undefined;
  }

  /** Sends a router's updates to its peers. */
  #tellPeers(from: SimulatedRouter): void {
    const topics = from.updates.takeChanges();
    for (const { id } of this.routers) {
      const target = this.#peer(from, id);
      if (target && target !== from) {
        target.updates.receive(topics, target.timers.now());
      }
    }
  }

  /** Asks a peer, whose answer never comes if either router is cut off or stands still. */
  async #requestVersions(
    from: SimulatedRouter,
    id: RouterId,
  ): Promise<unknown> {
    const answer = await this.#peer(from, id)?.confirmation.report();
    return this.#peer(from, id) ? answer : new Promise(() => undefined);
  }

  #page(after: FeedPage['position']['revision']): FeedPage {
    const rows = this.#endpoints.changes(after, this.now);
    return {
      rows: rows.map(row => ({
        key: row.id,
        value: undefined,
        revision: row.revision,
      })),
      position: this.#endpoints.position(this.now),
    };
  }
}

function settle(): Promise<void> {
  return new Promise(resolve => {
    setImmediate(resolve);
  });
}
