/**
 * Routers that share the tables of a store and exchange messages; time passes in steps.
 * A router that is cut off notices it only after the limits of a real one.
 */
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import type { Route } from '@sesamegrade/core/routes/fleet-configuration';
import type { Random } from '@sesamegrade/core/random/random';
import {
  endpointId,
  requestId,
  routeId,
  routerId,
  serviceId,
  softwareVersion,
  zoneId,
} from '@sesamegrade/core/types/ids';
import type {
  RouterId,
  ServiceId,
  SoftwareVersion,
} from '@sesamegrade/core/types/ids';
import {
  addTime,
  instant,
  milliseconds,
  seconds,
} from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { FeedRow } from '../../store/feed-source';
import { decodeDefaults, DEFAULTS_KEY, encodeDefaults } from '../origin-row';
import { StreamRecording } from '../stream-recording';
import type { OriginFinding } from '../stream-resumption';
import { EndpointTable } from './endpoint-table';
import { MemoryTable, RevisionCounter } from './memory-table';
import type { StoreReach } from './memory-table';
import { RELAYS, SimulatedRouter } from './simulated-router';
import type { SimulatedTraffic } from './simulated-router';

export const service = serviceId('drafting');
const HOST = 'a.example';
/** Prefix of the route that leads to the service from the start. */
const PREFIX = '/draft/';
export const ROUTERS = 4;
const STEP: Milliseconds = milliseconds(25);
/** Time without an answer of the store by which the routers notice that. */
const IN_TOUCH_TIME: Milliseconds = milliseconds(1500);
const MS_PER_SECOND = 1000;
/** Attempts after which a request is refused. */
const MAX_ATTEMPTS = 3;
/** Time after which the connections to peers are back once a cut has healed. */
const RECONNECT_TIME: Milliseconds = milliseconds(1000);

export interface Stream {
  readonly id: string;
  readonly version: SoftwareVersion;
  readonly beganAt: number;
}

/** A route of streams that may be resumed. */
export function streamRoute(
  prefix: string,
  weights: Readonly<Record<ServiceId, number>>,
): Route {
  return {
    id: routeId(prefix),
    host: HOST,
    prefix,
    targets: Object.entries(weights).map(([id, weight]) => ({
      service: serviceId(id),
      weight,
    })),
    answer: { kind: 'stream', pauseLimit: undefined },
    repeatable: true,
    timeout: seconds(15),
    latencyGoal: milliseconds(200),
    priority: 0,
    maxAttempts: MAX_ATTEMPTS,
    anonymous: false,
  };
}
const NO_TRAFFIC: SimulatedTraffic = {
  callTime: 0,
  onRecords: () => undefined,
  onWritten: () => undefined,
  onRead: () => undefined,
};

export class SimulatedFleet {
  readonly routers: SimulatedRouter[] = [];
  readonly #traffic: SimulatedTraffic;
  readonly #random: Random;
  readonly #counter = new RevisionCounter();
  readonly #endpoints = new EndpointTable(this.#counter);
  readonly #store = {
    counter: this.#counter,
    endpoints: this.#endpoints,
    streamRows: new MemoryTable(this.#counter),
  };
  /** When each stream was asked for: its caller waits for the longest timeout from then on. */
  readonly #sentAt = new Map<string, number>();
  #endpointCount = 0;
  #isFirstStart = true;
  #answeredAt = 0;
  #routes: readonly Route[] = [streamRoute(PREFIX, { [service]: 1 })];
  now = 0;
  store: StoreReach = 'answers';
  /** The longest timeout of a route of streams. */
  longestTimeout: Milliseconds = seconds(15);
  /** Time in ms that the store's clock gains in each second. */
  storeDrift = 0;
  /** The store's time minus the routers', in ms. */
  #storeOffset = 0;

  /** Share of the calls that the store rejects while it answers others. */
  rejectedShare = 0;

  constructor(random: Random, traffic: SimulatedTraffic = NO_TRAFFIC) {
    this.#random = random;
    this.#traffic = traffic;
  }

  /** Number of times that the list of default versions was written. */
  get listWrites(): number {
    return this.#store.streamRows.writes(DEFAULTS_KEY);
  }

  get versions(): SoftwareVersion[] {
    return this.#endpoints.entries.flatMap(
      entry => entry.softwareVersion ?? [],
    );
  }

  /**
   * Puts routes in force beside the service's own: now at the routers that are in touch with
   * others, and at those that start later.
   */
  setRoutes(...routes: readonly Route[]): void {
    this.#routes = [streamRoute(PREFIX, { [service]: 1 }), ...routes];
    for (const router of this.routers) {
      if (this.#hasPeers(router)) {
        router.applyRoutes(this.#routes);
      }
    }
  }

  /** Writes the list of default versions as an older build does, which names no routing. */
  writeOldList(): void {
    const { streamRows } = this.#store;
    const position = this.#counter.position(this.now);
    const row = streamRows
      .rows(position)
      .find(({ key }) => key === DEFAULTS_KEY);
    const list = row?.value && decodeDefaults(row.value);
    if (!list) {
      throw new RangeError('no list');
    }
    const value = encodeDefaults({ ...list, routing: undefined });
    streamRows.put(DEFAULTS_KEY, value, this.now);
  }

  /** The rows of the store's table of streams. */
  get streamRows(): FeedRow[] {
    return this.#store.streamRows.rows(this.#counter.position(this.now));
  }

  addEndpoint(version: string): void {
    this.#endpointCount += 1;
    this.startEndpoint(this.#endpointCount, version);
  }

  /** Starts an endpoint, or starts it again under the id that it had. */
  startEndpoint(number: number, version: string): void {
    const entry: EndpointEntry = {
      id: endpointId(`e-${number}`),
      service,
      address: { host: '10.0.0.1', port: number },
      zone: zoneId('z'),
      slots: 8,
      leaving: false,
      warmUp: milliseconds(0),
      startedAt: this.now,
      softwareVersion: softwareVersion(version),
    };
    this.#endpoints.add(entry, this.now);
  }

  /** Restarts the endpoint that was listed first with another version; returns the one that it had. */
  restartEndpoint(version: string): string | undefined {
    const [first] = [...this.#endpoints.entries].sort((left, right) =>
      left.id.localeCompare(right.id),
    );
    if (!first) {
      return undefined;
    }
    this.startEndpoint(first.address.port, version);
    return first.softwareVersion;
  }

  removeEndpoints(version: string, count: number): void {
    const leaving = this.#endpoints.entries
      .filter(entry => entry.softwareVersion === version)
      .slice(0, count);
    for (const { id } of leaving) {
      this.#endpoints.remove(id, this.now);
    }
  }

  /** Steps the store's clock. */
  stepStoreClock(by: number): void {
    this.#storeOffset += by;
  }

  start(count: number): void {
    for (let index = this.routers.length; index < count; index += 1) {
      this.#startRouter(index);
    }
    this.#isFirstStart = false;
  }

  /**
   * Ends routers with all that they know; they start again at once. `listDelay` is the time
   * in which the store answers all but their reads of the endpoints, and no peer is connected.
   */
  restart(indexes: readonly number[], listDelay = 0): void {
    for (const index of indexes) {
      this.routers[index]?.timers.stop();
    }
    for (const index of indexes) {
      this.#startRouter(index, listDelay);
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
      if (this.store === 'answers') {
        this.#answeredAt = this.now;
      }
      this.#storeOffset += (this.storeDrift * STEP) / MS_PER_SECOND;
      for (const router of this.routers) {
        if (!router.isFrozen) {
          this.#passOnRows(router);
          router.timers.advance(STEP);
        }
      }
      await settle();
    }
  }

  /**
   * Begins a stream at an endpoint that the router knows. One that is not recorded is
   * withdrawn and begins at another endpoint if a record is needed there no more.
   */
  begin(router: SimulatedRouter, id: string): Promise<Stream | undefined> {
    return this.#settled(this.startBegin(router, id));
  }

  /** The same without letting time pass. */
  async startBegin(
    router: SimulatedRouter,
    id: string,
  ): Promise<Stream | undefined> {
    this.#sentAt.set(id, this.now);
    const recording = new StreamRecording(
      {
        streamLedger: router.ledger,
        defaultVersions: router.defaults,
        routeHistory: { isShared: () => false },
        timers: router.timers,
      },
      { request: requestId(id), service, isResumption: false },
    );
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const version = this.#pickVersion(router);
      if (version === undefined) {
        return undefined;
      }
      recording.announce(version);
      const isAdmitted = await recording.admit(version);
      if (router !== this.routers.find(({ id: at }) => at === router.id)) {
        return undefined;
      }
      if (isAdmitted) {
        router.resumption.recordBegin({
          request: requestId(id),
          service,
          version,
          ...recording.record,
        });
        return { id, version, beganAt: this.now };
      }
    }
    return undefined;
  }

  #pickVersion(router: SimulatedRouter): SoftwareVersion | undefined {
    const known = router.admission.prefer(
      this.#known(router),
      router.timers.now(),
    );
    return known.length === 0 || router.isFrozen
      ? undefined
      : this.#random.pick(known).softwareVersion;
  }

  /** The endpoints that a router knows and that exist. */
  #known(router: SimulatedRouter): EndpointEntry[] {
    const existing = new Set(this.#endpoints.entries.map(entry => entry.id));
    return router.directory
      .usable(service)
      .filter(entry => existing.has(entry.id));
  }

  /** What a router finds out about a stream that a caller resumes there. */
  async resume(
    router: SimulatedRouter,
    id: string,
    prefix = PREFIX,
  ): Promise<OriginFinding> {
    return this.#settled(this.startResume(router, id, prefix));
  }

  /** The same without letting time pass. */
  startResume(
    router: SimulatedRouter,
    id: string,
    prefix = PREFIX,
  ): Promise<OriginFinding> {
    const path = { host: HOST, path: prefix };
    const begunBy = requestId(id);
    const sentAt = this.#sentAt.get(id);
    const expiresAt =
      sentAt === undefined
        ? undefined
        : addTime(
            router.timers.now(),
            milliseconds(sentAt + this.longestTimeout - this.now),
          );
    return router.resumption.originOf(
      () => router.routeHistory.servicesOf(path, begunBy, router.timers.now()),
      begunBy,
      expiresAt,
    );
  }

  /** Lets time pass until a promise is settled. */
  async #settled<Value>(promise: Promise<Value>): Promise<Value> {
    const state = { isOpen: true };
    const end = () => {
      state.isOpen = false;
    };
    promise.then(end, end);
    await settle();
    while (state.isOpen) {
      await this.pass(STEP);
    }
    return promise;
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
    const isRejected =
      this.rejectedShare > 0 && this.#random.fraction() < this.rejectedShare;
    return isTurnedAway || isRejected ? 'rejects' : this.store;
  }

  #hasPeers({ cutAt, apartUntil, isFrozen }: SimulatedRouter): boolean {
    return cutAt === undefined && apartUntil <= this.now && !isFrozen;
  }

  /** Peers pass on the rows that they read. */
  #passOnRows(router: SimulatedRouter): void {
    if (this.#hasPeers(router)) {
      router.applyRows(this.now - router.lag);
      router.applyRoutes(this.#routes);
    }
  }

  #startRouter(index: number, listDelay = 0): void {
    const router = new SimulatedRouter({
      id: routerId(`r-${index}`),
      store: this.#store,
      random: this.#random,
      isFirstStart: this.#isFirstStart,
      longestTimeout: () => this.longestTimeout,
      clock: () => this.now,
      storeClock: () => this.now + this.#storeOffset,
      reach: each => this.#reach(each),
      isInTouch: () => this.now - this.#answeredAt <= IN_TOUCH_TIME,
      others: () =>
        this.routers
          .map(({ id }) => id)
          .filter(id => id !== routerId(`r-${index}`)),
      relays: each =>
        RELAYS.filter(id => id === each.id || this.#peer(each, id)),
      connectedAt: (from, id) => {
        const peer = this.#peer(from, id);
        return peer && instant(Math.max(from.apartUntil, peer.apartUntil));
      },
      traffic: this.#traffic,
      ask: (from, relay, question) => this.#ask(from, relay, question),
    });
    this.routers[index] = router;
    router.apartUntil = this.now + listDelay;
    router.start(listDelay === 0);
    router.applyRoutes(this.#routes);
    this.#passOnRows(router);
  }

  #peer(from: SimulatedRouter, id: RouterId): SimulatedRouter | undefined {
    const target = this.routers.find(other => other.id === id);
    return target && this.#hasPeers(from) && this.#hasPeers(target)
      ? target
      : undefined;
  }

  async #ask(
    from: SimulatedRouter,
    id: RouterId,
    question: (relay: SimulatedRouter) => Promise<unknown>,
  ): Promise<unknown> {
    const relay = this.#peer(from, id);
    const answer = relay && (await question(relay));
    return relay === this.#peer(from, id)
      ? answer
      : new Promise(() => undefined);
  }
}

function settle(): Promise<void> {
  return new Promise(resolve => {
    setImmediate(resolve);
  });
}
