/** Connects this router to the others and exchanges updates with them. */
import type { EvacuatedZones } from '@sesamegrade/core/endpoints/evacuated-zones';
import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { RouterIdentity } from '@sesamegrade/core/membership/router-table';
import type { TopicEntries } from '@sesamegrade/core/gossip/gossip-scheduler';
import { selectRelays } from '@sesamegrade/core/peers/relay-selection';
import { standbyUpdateDelay } from '@sesamegrade/core/peers/update-delays';
import type {
  FeedTable,
  FeedUpdates,
} from '@sesamegrade/core/peers/feed-updates';
import type {
  PeerUpdates,
  PeerVersion,
} from '@sesamegrade/core/peers/peer-updates';
import type { RouterDirectory } from '@sesamegrade/core/peers/router-directory';
import type { Random } from '@sesamegrade/core/random/random';
import type { RouteTable } from '@sesamegrade/core/routes/route-table';
import { storeEra } from '@sesamegrade/core/store/feed-position';
import type { FeedCoverage } from '@sesamegrade/core/store/feed-coverage';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { pause } from '@sesamegrade/core/time/pause';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { HybridClock } from '@sesamegrade/core/timeline/hybrid-clock';
import { routerId } from '@sesamegrade/core/types/ids';
import type { RouterId } from '@sesamegrade/core/types/ids';
import { elapsed, milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import { PeerLink } from '@sesamegrade/router/peers/peer-link';
import type { GossipFrame } from '@sesamegrade/router/peers/peer-message';
import {
  identitySchema,
  identityMessage,
} from '@sesamegrade/router/peers/peer-message';
import type { PeerProof } from '@sesamegrade/router/peers/peer-proof';
import { PeerServer } from '@sesamegrade/router/peers/peer-server';
import { SocketMeter } from '@sesamegrade/router/peers/socket-meter';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import type { DecisionLog } from '../logs/decision-log';
import type { SettingsReloader } from '../process/settings-reloader';
import type { FleetPermits } from '../permits/fleet-permits';
import type { FleetReplica } from '../store/fleet-replica';
import type { FeedPage } from '../store/feed-source';
import { parseJsonRow } from '../store/json-row';
import type { RowTable } from '../store/row-table';
import type { TunnelServer } from '../tunnels/tunnel-server';
import type { StoredSuspects } from '../store/stored-suspects';
import type { OriginConfirmation } from '../streams/origin-confirmation';
import type { OriginSharing } from '../streams/origin-sharing';
import type { StreamLedger } from '../streams/stream-ledger';
import { DelayedUpdates } from './delayed-updates';
import {
  fleetSnapshotSchema,
  snapshotEndpoints,
  snapshotZones,
} from './fleet-snapshot';
import { UpdateSender } from './update-sender';
import { SeedLinks } from './seed-links';

/** How often connections are checked for silence. */
const LINK_CHECK_PERIOD: Milliseconds = seconds(1);
/** Silence after which a connection is considered dead and opened again. */
const SILENCE_LIMIT: Milliseconds = milliseconds(2000);
/**
 * Time without the list of routers after which the seeds are connected; a
 * working store responds in 10 ms.
 */
const SEED_DELAY: Milliseconds = milliseconds(300);
/** Time between attempts to read the list of routers. */
const LIST_RETRY_PERIOD: Milliseconds = seconds(1);
/**
 * Time after which the list is read once more, for routers that wrote their row
 * at the same moment.
 */
const LIST_REREAD_DELAY: Milliseconds = milliseconds(1500);
/** Minimum time between two reads of the list by a router that no relay serves. */
const LIST_REFRESH_PERIOD: Milliseconds = seconds(5);
/** Time over which the routers register again after a restore of the store. */
const MAX_REGISTER_DELAY: Milliseconds = milliseconds(500);

interface Peer {
  readonly identity: RouterIdentity;
  readonly link: PeerLink;
  lastReceivedAt: Instant;
  isConnected: boolean;
  /** When it was last connected; undefined before the first time. */
  connectedAt: Instant | undefined;
}

export interface PeerMeshOptions {
  readonly settings: GatewaySettings;
  readonly settingsReloader: SettingsReloader;
  readonly identity: RouterIdentity;
  readonly peerProof: PeerProof;
  readonly tunnelServer: TunnelServer;
  readonly routerRows: RowTable;
  readonly storedSuspects: StoredSuspects;
  readonly peerUpdates: PeerUpdates;
  readonly feedUpdates: FeedUpdates;
  readonly routerDirectory: RouterDirectory;
  readonly endpointDirectory: EndpointDirectory;
  readonly evacuatedZones: EvacuatedZones;
  readonly routes: RouteTable;
  readonly fleetReplica: FleetReplica;
  readonly coverage: Readonly<Record<FeedTable, FeedCoverage>>;
  readonly timers: TimerService;
  readonly random: Random;
  readonly fleetPermits: FleetPermits;
  readonly originConfirmation: Pick<OriginConfirmation, 'answer'>;
  readonly streamLedger: Pick<StreamLedger, 'recordForPeer'>;
  readonly originSharing: Pick<OriginSharing, 'keep'>;
  readonly backgroundTasks: BackgroundTasks;
  readonly log: DecisionLog;
}

export class PeerMesh {
  readonly #options: PeerMeshOptions;
  readonly #self: RouterIdentity;
  readonly #clock: HybridClock;
  readonly #meter = new SocketMeter();
  readonly #proof: PeerProof;
  readonly #server: PeerServer;
  readonly #peers = new Map<RouterId, Peer>();
  readonly #subscribers = new Set<RouterId>();
  /** Updates that wait for standby relays. */
  readonly #delayed = new Map<RouterId, DelayedUpdates>();
  readonly #seedLinks: SeedLinks;
  readonly #updateSender: UpdateSender;
  #relays: readonly RouterId[] = [];
  #fetching = false;
  #listReadAt: Instant | undefined;
  #stopped = false;

  constructor(options: PeerMeshOptions) {
    this.#options = options;
    const { timers } = options;
    this.#self = options.identity;
    this.#clock = new HybridClock(() => timers.wallTime());
    this.#proof = options.peerProof;
    this.#seedLinks = new SeedLinks({
      self: this.#self,
      proof: this.#proof,
      meter: this.#meter,
      random: options.random,
      backgroundTasks: options.backgroundTasks,
      log: options.log,
      addresses: () => options.settingsReloader.current.peers.seeds,
      onIdentified: identity => {
        this.#addRouter(identity);
      },
    });
    this.#updateSender = new UpdateSender({
      peerUpdates: options.peerUpdates,
      routerDirectory: options.routerDirectory,
      timers: options.timers,
      isStandby: () =>
        options.peerUpdates.isRelay && this.#relays[0] !== this.#self.id,
      send: (topics, isUrgent) => {
        this.#sendUpdates(topics, isUrgent);
      },
    });
    this.#server = new PeerServer({
      self: this.#self,
      proof: this.#proof,
      meter: this.#meter,
      timers,
      disconnectsOnLoss: true,
      snapshot: () => ({
        version: options.routes.version ?? 0,
        era: options.fleetReplica.configurationEra,
        raw: options.fleetReplica.rawConfiguration ?? new Uint8Array(0),
        endpoints: snapshotEndpoints(options.endpointDirectory),
        zones: snapshotZones(options.evacuatedZones),
      }),
      onAcceptFailure: error => {
        options.log.write('accept-failed', { error: error.message });
      },
      onConnect: (request, socket) => {
        options.tunnelServer.accept(request, socket);
      },
      origin: query => options.originConfirmation.answer(query),
      record: message => options.streamLedger.recordForPeer(message),
      keepOrigins: message => options.originSharing.keep(message),
      permit: (peer, query) => options.fleetPermits.answerPeer(peer, query),
      releasePermit: permit => {
        options.fleetPermits.releaseForPeer(permit);
      },
      listener: {
        onSubscribed: identity => {
          this.#onSubscribed(identity);
        },
        onUnsubscribed: peer => {
          this.#subscribers.delete(peer);
          this.#delayed.delete(peer);
          this.#updateLinks();
        },
      },
    });
  }

  /** Number of routers that updates are received from. */
  get connectedCount(): number {
    return [...this.#peers.values()].filter(peer => peer.isConnected).length;
  }

  /** Number of routers that receive updates from this one. */
  get subscriberCount(): number {
    return this.#subscribers.size;
  }

  /** The relays that are connected, this router included, the first one first. */
  get relays(): readonly RouterId[] {
    return this.#relays;
  }

  /** When the present connection to a router was established; undefined if there is none. */
  connectedAt(router: RouterId): Instant | undefined {
    const peer = this.#peers.get(router);
    return peer?.isConnected ? peer.connectedAt : undefined;
  }

  /** Bytes on all connections between routers, in both directions. */
  get bytes(): number {
    const { read, written } = this.#meter.total();
    return read + written;
  }

  /** Listens for peers and begins to connect to them; resolves once the server listens. */
  async start(): Promise<void> {
    const { timers } = this.#options;
    await this.#server.listen(this.#self.address);
    this.#updateSender.start();
    timers.every(LINK_CHECK_PERIOD, now => {
      this.#checkLinks(now);
    });
    timers.after(SEED_DELAY, () => {
      if (!this.#options.routerDirectory.isListRead) {
        this.#connectSeeds();
      }
    });
    this.#startJoining();
  }

  /** Closes all connections; none is opened afterwards. */
  async stop(): Promise<void> {
    this.#stopped = true;
    this.#seedLinks.close();
    await Promise.all(
      [...this.#peers.values()].map(({ link }) => link.close()),
    );
    await this.#server.close();
  }

  /**
   * Writes this router's row again if a restored store lacks it. The routers take
   * turns by chance, as all of them notice the restore at once.
   */
  registerAgain(): void {
    const { timers, random } = this.#options;
    timers.after(milliseconds(random.fraction() * MAX_REGISTER_DELAY), () => {
      this.#startJoining();
    });
  }

  #startJoining(): void {
    this.#options.backgroundTasks.run('join-fleet', () => this.#joinFleet());
  }

  /**
   * Connects to the routers of the store's rows. A router without a row writes it
   * and reads the rows once more, as others may have written theirs meanwhile.
   */
  async #joinFleet(): Promise<void> {
    const { routerRows, timers } = this.#options;
    let mustReread = false;
    while (!this.#isStopped()) {
      const rows = await routerRows.readAll();
      if (rows.ok) {
        const hasOwnRow = this.#onRows(rows.value);
        mustReread = !hasOwnRow;
        if (hasOwnRow || (await this.#writeRow())) {
          break;
        }
      } else if (this.connectedCount > 0) {
        this.#seedLinks.close();
      } else {
        this.#connectSeeds();
      }
      await pause(timers, LIST_RETRY_PERIOD);
    }
    this.#seedLinks.close();
    if (mustReread) {
      await pause(timers, LIST_REREAD_DELAY);
      await this.#rereadRows();
    }
  }

  async #rereadRows(): Promise<void> {
    const { routerRows, timers } = this.#options;
    this.#listReadAt = timers.now();
    const reread = await routerRows.readAll();
    if (reread.ok) {
      this.#onRows(reread.value);
    }
  }

  /** Applies the list of routers; returns whether this router's own row is among them. */
  #onRows(page: FeedPage): boolean {
    const { rows } = page;
    const { routerDirectory, timers } = this.#options;
    this.#listReadAt = timers.now();
    routerDirectory.markListRead();
    this.#options.storedSuspects.onRows(rows);
    return rows.filter(row => this.#onRow(row.value)).length > 0;
  }

  /**
   * Reads the list of routers again while no relay confirms the store's tables,
   * as this router may know the wrong relays.
   */
  #rereadRowsIfAlone(now: Instant): void {
    const { coverage, settings, peerUpdates, backgroundTasks } = this.#options;
    const { latest } = coverage.endpoints;
    const isAlone =
      !peerUpdates.isRelay && latest?.origin === routerId(settings.router.id);
    const isDue =
      this.#listReadAt !== undefined &&
      elapsed(this.#listReadAt, now) > LIST_REFRESH_PERIOD;
    if (isAlone && isDue) {
      backgroundTasks.run('reread-routers', () => this.#rereadRows());
    }
  }

  #isStopped(): boolean {
    return this.#stopped;
  }

  async #writeRow(): Promise<boolean> {
    const row = JSON.stringify(identityMessage({ ...this.#self }));
    const written = await this.#options.routerRows.put(
      this.#self.id,
      new TextEncoder().encode(row),
    );
    return written.ok;
  }

  /**
   * Connects to the router of a row; returns true when the row is this router's
   * own with its current address.
   */
  #onRow(value: Uint8Array | undefined): boolean {
    const identity = value && parseJsonRow(identitySchema, value);
    if (!identity) {
      return false;
    }
    if (identity.id === this.#self.id) {
      return sameAddress(identity, this.#self);
    }
    this.#addRouter(identity);
    return false;
  }

  #onSubscribed(identity: RouterIdentity): void {
    this.#subscribers.add(identity.id);
    this.#delayed.delete(identity.id);
    this.#addRouter(identity);
    // Updates flow one way along a subscription, so this router subscribes to
    // its subscriber as well.
    this.#connect(identity);
    this.#sendFullState(identity.id);
  }

  #sendFullState(peer: RouterId): void {
    const { peerUpdates, endpointDirectory, timers } = this.#options;
    const endpoints = endpointDirectory.all().map(({ id }) => id);
    this.sendTo(peer, peerUpdates.fullState(peer, endpoints, timers.now()));
  }

  #addRouter(identity: RouterIdentity): void {
    this.#options.routerDirectory.add(identity, this.#options.timers.now());
    this.#updateLinks();
  }

  /**
   * Connects to the chosen relays and closes connections that are neither to a
   * relay nor to a subscriber.
   */
  #updateLinks(): void {
    const { routerDirectory } = this.#options;
    const connected = new Set(
      [...this.#peers.values()]
        .filter(peer => peer.isConnected)
        .map(({ identity }) => identity.id),
    );
    const { relays, links, isRelay, isReader } = selectRelays({
      self: this.#self.id,
      known: [
        { id: this.#self.id, power: this.#self.power ?? 1 },
        ...routerDirectory.relayCandidates(),
      ],
      connected,
      hasSubscribers: this.#subscribers.size > 0,
    });
    this.#relays = relays;
    this.#setRelay(isRelay);
    this.#options.fleetReplica.setReader(isReader);
    const wanted = new Set([...links, ...this.#subscribers]);
    for (const id of links) {
      const router = routerDirectory.get(id);
      if (router) {
        this.#connect(router);
      }
    }
    for (const [id, peer] of this.#peers) {
      if (!wanted.has(id)) {
        this.#peers.delete(id);
        this.#closeLink(peer.link);
      }
    }
  }

  #setRelay(isRelay: boolean): void {
    const { peerUpdates } = this.#options;
    if (peerUpdates.isRelay === isRelay) {
      return;
    }
    peerUpdates.isRelay = isRelay;
    if (isRelay) {
      for (const peer of this.#subscribers) {
        this.#sendFullState(peer);
      }
    }
  }

  #connectSeeds(): void {
    if (!this.#stopped) {
      this.#seedLinks.connectAll();
    }
  }

  #connect(identity: RouterIdentity): void {
    if (this.#stopped) {
      return;
    }
    const known = this.#peers.get(identity.id);
    if (known && sameAddress(known.identity, identity)) {
      return;
    }
    if (known) {
      this.#closeLink(known.link);
    }
    const { timers, random, log } = this.#options;
    const link = new PeerLink({
      peer: identity.id,
      address: identity.address,
      proof: this.#proof,
      meter: this.#meter,
      random,
      listener: {
        onConnected: () => {
          this.#onLinkChange(identity.id, true);
        },
        onDisconnected: () => {
          this.#onLinkChange(identity.id, false);
        },
        onGossip: (peer, frame) => {
          this.#onFrame(peer, frame);
        },
        onMalformed: peer => {
          log.write('peer-malformed', { peer });
        },
      },
    });
    this.#peers.set(identity.id, {
      identity,
      link,
      lastReceivedAt: timers.now(),
      isConnected: false,
      connectedAt: undefined,
    });
  }

  #closeLink(link: PeerLink): void {
    this.#options.backgroundTasks.run('peer-close', () => link.close());
  }

  #onLinkChange(id: RouterId, connected: boolean): void {
    const peer = this.#peers.get(id);
    if (!peer || peer.isConnected === connected) {
      return;
    }
    const { log, peerUpdates, timers } = this.#options;
    peer.isConnected = connected;
    peer.lastReceivedAt = timers.now();
    if (connected) {
      peer.connectedAt = timers.now();
    } else {
      peerUpdates.onPeerGone(id);
    }
    log.write(connected ? 'peer-connected' : 'peer-lost', { peer: id });
    this.#updateLinks();
  }

  #onFrame(id: RouterId, frame: GossipFrame): void {
    const { peerUpdates, feedUpdates, fleetReplica, timers, backgroundTasks } =
      this.#options;
    const now = timers.now();
    this.#clock.receive(frame.h);
    const peer = this.#peers.get(id);
    if (peer) {
      peer.lastReceivedAt = now;
    }
    const { version, malformed } = peerUpdates.receive(id, frame.t, now);
    this.#logMalformed(id, malformed);
    if (peerUpdates.isUrgent || peerUpdates.hasNewParts) {
      this.flushSoon();
    } else if (peerUpdates.hasNewLoads) {
      this.flushLoadsSoon();
    }
    fleetReplica.onPeerEra(feedUpdates.newestEra);
    const isNewer = version !== undefined && this.#isNewer(version);
    if (peer && (isNewer || !this.#options.endpointDirectory.isLoaded)) {
      backgroundTasks.run('fetch-snapshot', () => this.#fetchSnapshot(peer));
    }
  }

  #logMalformed(peer: RouterId, entries: number): void {
    if (entries > 0) {
      this.#options.log.write('peer-malformed', { peer, entries });
    }
  }

  /** Whether a peer's configuration is newer and not of an earlier era of the store. */
  #isNewer({ version, era }: PeerVersion): boolean {
    const { routes, fleetReplica } = this.#options;
    return (
      routes.version === undefined ||
      (era >= fleetReplica.configurationEra && version > routes.version)
    );
  }

  /** Fetches what a peer has newer, as the store's feed may be late or unavailable. */
  async #fetchSnapshot(peer: Peer): Promise<void> {
    if (this.#fetching) {
      return;
    }
    this.#fetching = true;
    const { fleetReplica, log } = this.#options;
    try {
      const parsed = fleetSnapshotSchema.safeParse(
        await peer.link.fetchConfiguration(),
      );
      if (!parsed.success) {
        log.write('peer-malformed', { peer: peer.identity.id });
        return;
      }
      const { version, era, raw, endpoints, zones } = parsed.data;
      if (zones) {
        fleetReplica.applyPeerZones(zones);
      }
      if (this.#isNewer({ version, era }) && raw.length > 0) {
        fleetReplica.applyPeerConfiguration(raw, storeEra(era));
      }
      if (endpoints) {
        this.#logMalformed(peer.identity.id, endpoints.malformed);
        fleetReplica.applyPeerEndpoints(endpoints.entries, peer.identity.id);
      }
    } catch (error) {
      log.write('peer-fetch-failed', {
        peer: peer.identity.id,
        error: String(error),
      });
      fleetReplica.readConfigurationNow();
    } finally {
      this.#fetching = false;
    }
  }

  /** Asks a relay where a stream began; rejects if it is not connected. */
  requestOrigin(relay: RouterId, query: unknown): Promise<unknown> {
    const peer = this.#peers.get(relay);
    return peer?.isConnected
      ? peer.link.requestOrigin(query)
      : Promise.reject(new Error(`${relay} is not connected`));
  }

  /** Asks a relay to record the origins of streams; rejects if it is not connected. */
  requestRecording(relay: RouterId, message: unknown): Promise<unknown> {
    const peer = this.#peers.get(relay);
    return peer?.isConnected
      ? peer.link.requestRecording(message)
      : Promise.reject(new Error(`${relay} is not connected`));
  }

  /** Asks a relay to keep the origins of streams of this router; rejects if it is not connected. */
  shareOrigins(relay: RouterId, message: unknown): Promise<unknown> {
    const peer = this.#peers.get(relay);
    return peer?.isConnected
      ? peer.link.shareOrigins(message)
      : Promise.reject(new Error(`${relay} is not connected`));
  }

  /** Asks a relay for a permit; rejects if it is not connected. */
  requestPermit(relay: RouterId, query: unknown): Promise<unknown> {
    const peer = this.#peers.get(relay);
    return peer?.isConnected
      ? peer.link.requestPermit(query)
      : Promise.reject(new Error(`${relay} is not connected`));
  }

  /** Gives a permit back to a relay; rejects if it is not connected. */
  releasePermit(relay: RouterId, permit: unknown): Promise<unknown> {
    const peer = this.#peers.get(relay);
    return peer?.isConnected
      ? peer.link.releasePermit(permit)
      : Promise.reject(new Error(`${relay} is not connected`));
  }

  /** Sends pending updates after a short delay, together with those that arrive meanwhile. */
  flushSoon(): void {
    this.#updateSender.flushSoon();
  }

  /** Sends pending loads with the batching delay of loads. */
  flushLoadsSoon(): void {
    this.#updateSender.flushLoadsSoon();
  }

  /** Sends updates to all subscribers; those that are not urgent wait for standby relays. */
  #sendUpdates(topics: TopicEntries, isUrgent: boolean): void {
    const { peerUpdates } = this.#options;
    for (const peer of this.#subscribers) {
      const updates = { ...topics, ...peerUpdates.takeChangesFor(peer) };
      const delay = isUrgent ? milliseconds(0) : this.#standbyDelay(peer);
      if (delay > 0) {
        this.#delay(peer, updates, delay);
      } else {
        this.#sendWithDelayed(peer, updates);
      }
    }
  }

  /** Time for which a relay that is not the first one need not hear of loads and prompt parts. */
  #standbyDelay(peer: RouterId): Milliseconds {
    const isStandby =
      !this.#options.peerUpdates.isRelay &&
      this.#relays.length > 1 &&
      peer !== this.#relays[0];
    return isStandby
      ? standbyUpdateDelay(this.#options.routerDirectory.fleetSize)
      : milliseconds(0);
  }

  #delay(peer: RouterId, updates: TopicEntries, delay: Milliseconds): void {
    const delayed = this.#delayed.get(peer) ?? new DelayedUpdates();
    this.#delayed.set(peer, delayed);
    const isWaiting = !delayed.isEmpty;
    delayed.add(updates);
    if (delayed.isFull) {
      this.#sendWithDelayed(peer, {});
    } else if (!isWaiting) {
      this.#options.timers.after(delay, () => {
        if (!delayed.isEmpty) {
          this.#sendWithDelayed(peer, {});
        }
      });
    }
  }

  #sendWithDelayed(peer: RouterId, updates: TopicEntries): void {
    const delayed = this.#delayed.get(peer);
    if (!delayed || delayed.isEmpty) {
      this.sendTo(peer, updates);
      return;
    }
    delayed.add(updates);
    this.sendTo(peer, delayed.take());
  }

  /** Sends updates to one peer at once; returns false if it does not receive them. */
  sendTo(peer: RouterId, topics: GossipFrame['t']): boolean {
    return this.#server.send(peer, { h: this.#clock.next(), t: topics });
  }

  /** Resets silent connections and removes routers that stay unreachable. */
  #checkLinks(now: Instant): void {
    const { routerDirectory } = this.#options;
    for (const [id, peer] of this.#peers) {
      const silence = elapsed(peer.lastReceivedAt, now);
      if (peer.isConnected && silence > SILENCE_LIMIT) {
        peer.link.reset();
      } else if (peer.isConnected) {
        routerDirectory.recordSeen(id, now);
      } else {
        routerDirectory.removeIfUnreachable(id, now);
      }
    }
    this.#updateLinks();
    this.#rereadRowsIfAlone(now);
  }
}

function sameAddress(left: RouterIdentity, right: RouterIdentity): boolean {
  return (
    left.address.host === right.address.host &&
    left.address.port === right.address.port
  );
}
