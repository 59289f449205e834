/** Connects this router to the others and exchanges news with them. */
import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { RouterIdentity } from '@sesamegrade/core/membership/router-table';
import { chooseRelays } from '@sesamegrade/core/peers/relay-choice';
import type { PeerNews } from '@sesamegrade/core/peers/peer-news';
import type { RouterRoster } from '@sesamegrade/core/peers/router-roster';
import type { Random } from '@sesamegrade/core/random/random';
import type { RouteTable } from '@sesamegrade/core/routes/route-table';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { HybridClock } from '@sesamegrade/core/timeline/hybrid-clock';
import { incarnation, routerId, zoneId } from '@sesamegrade/core/types/ids';
import type { RouterId } from '@sesamegrade/core/types/ids';
import { elapsed, milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import { PeerLink } from '@sesamegrade/router/peers/peer-link';
import type { GossipFrame } from '@sesamegrade/router/peers/peer-message';
import {
  identitySchema,
  tellIdentity,
} from '@sesamegrade/router/peers/peer-message';
import { PeerProof } from '@sesamegrade/router/peers/peer-proof';
import { PeerServer } from '@sesamegrade/router/peers/peer-server';
import { SocketMeter } from '@sesamegrade/router/peers/socket-meter';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import type { DecisionLog } from '../logs/decision-log';
import type { SettingsReloader } from '../process/settings-reloader';
import type { FleetReplica } from '../store/fleet-replica';
import type { RowTable } from '../store/row-table';
import { fleetSnapshotSchema, snapshotEndpoints } from './fleet-snapshot';
import { UpdateSender } from './update-sender';
import { SeedLinks } from './seed-links';

/** How often connections are looked at. */
const INSPECTION_PERIOD: Milliseconds = seconds(1);
/** Silence after which a connection is taken for dead and made anew. */
const SILENCE_LIMIT: Milliseconds = milliseconds(2500);
/** Time without the list of routers after which those of the settings are asked; the store answers in 10 ms. */
const SEED_DELAY: Milliseconds = milliseconds(300);
/** Time between tries to read the list of routers. */
const LIST_RETRY: Milliseconds = seconds(1);
/** Second reading of the list, for routers that wrote their row at the same moment. */
const LIST_AGAIN: Milliseconds = milliseconds(1500);

interface Peer {
  readonly identity: RouterIdentity;
  readonly link: PeerLink;
  heardAt: Instant;
  connected: boolean;
}

export interface PeerMeshOptions {
  readonly settings: GatewaySettings;
  readonly settingsReloader: SettingsReloader;
  readonly peerSecret: string;
  readonly routerRows: RowTable;
  readonly peerUpdates: PeerNews;
  readonly routerDirectory: RouterRoster;
  readonly directory: EndpointDirectory;
  readonly routes: RouteTable;
  readonly fleetReplica: FleetReplica;
  readonly timers: TimerService;
  readonly random: Random;
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
  readonly #seeds: SeedLinks;
  readonly #teller: UpdateSender;
  #fetching = false;
  #stopped = false;

  constructor(options: PeerMeshOptions) {
    this.#options = options;
    const { settings, timers, peerSecret } = options;
    const wallTime = () => timers.wallTime();
    this.#self = {
      id: routerId(settings.router.id),
      incarnation: incarnation(Math.floor(wallTime())),
      zone: zoneId(settings.router.zone),
      address: settings.router.peers,
      power: settings.router.cpu_share * settings.router.cpu_speed,
    };
    this.#clock = new HybridClock(wallTime);
    this.#proof = new PeerProof({
      self: this.#self,
      secret: peerSecret,
      wallTime,
    });
    this.#seeds = new SeedLinks({
      self: this.#self,
      proof: this.#proof,
      meter: this.#meter,
      random: options.random,
      log: options.log,
      addresses: () => options.settingsReloader.current.peers.seeds,
      onIdentified: identity => {
        this.#learn(identity);
      },
    });
    this.#teller = new UpdateSender({
      peerUpdates: options.peerUpdates,
      routerDirectory: options.routerDirectory,
      timers: options.timers,
      send: topics => {
        for (const peer of this.#subscribers) {
          this.#send(peer, topics);
        }
      },
    });
    this.#server = new PeerServer({
      self: this.#self,
      proof: this.#proof,
      meter: this.#meter,
      timers,
      snapshot: () => ({
        version: options.routes.version ?? 0,
        raw: options.fleetReplica.rawConfiguration ?? new Uint8Array(0),
        endpoints: snapshotEndpoints(options.directory),
      }),
      listener: {
        subscribed: identity => {
          this.#subscribed(identity);
        },
        unsubscribed: peer => {
          this.#subscribers.delete(peer);
          this.#arrange();
        },
      },
    });
  }

  /** Routers that news come from. */
  get connected(): number {
    return [...this.#peers.values()].filter(peer => peer.connected).length;
  }

  /** Bytes on all connections between routers, in both directions. */
  get bytes(): number {
    const { read, written } = this.#meter.total();
    return read + written;
  }

  async start(): Promise<void> {
    const { timers } = this.#options;
    await this.#server.listen(this.#self.address);
    this.#teller.start();
    timers.every(INSPECTION_PERIOD, now => {
      this.#inspect(now);
    });
    timers.after(SEED_DELAY, () => {
      if (!this.#options.routerDirectory.isRead) {
        this.#seeds.connectAll();
      }
    });
    void this.#join();
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    this.#seeds.close();
    await Promise.all(
      [...this.#peers.values()].map(({ link }) => link.close()),
    );
    await this.#server.close();
  }

  /** Writes this router's row and connects to those of the others. */
  async #join(): Promise<void> {
    const { routerRows, routerDirectory, timers } = this.#options;
    while (!this.#isStopped()) {
      const rows = await routerRows.readAll();
      if (rows.ok) {
        routerDirectory.listRead();
        const hasOwn = rows.value.rows.some(row => this.#takeRow(row.value));
        const written = hasOwn || (await this.#writeRow());
        if (written) {
          break;
        }
      } else if (this.connected > 0) {
        this.#seeds.close();
      } else {
        this.#seeds.connectAll();
      }
      await pause(timers, LIST_RETRY);
    }
    this.#seeds.close();
    await pause(timers, LIST_AGAIN);
    const again = await routerRows.readAll();
    for (const row of again.ok ? again.value.rows : []) {
      this.#takeRow(row.value);
    }
  }

  #isStopped(): boolean {
    return this.#stopped;
  }

  async #writeRow(): Promise<boolean> {
    const row = JSON.stringify(tellIdentity({ ...this.#self }));
    const written = await this.#options.routerRows.put(
      this.#self.id,
      new TextEncoder().encode(row),
    );
    return written.ok;
  }

  /** Connects to the router that a row names; true when it names this one at its address. */
  #takeRow(value: Uint8Array | undefined): boolean {
    const identity = value && readIdentity(value);
    if (!identity) {
      return false;
    }
    if (identity.id === this.#self.id) {
      return sameAddress(identity, this.#self);
    }
    this.#learn(identity);
    return false;
  }

  #subscribed(identity: RouterIdentity): void {
    const { peerUpdates, directory } = this.#options;
    this.#subscribers.add(identity.id);
    this.#learn(identity);
    // News flow along subscriptions, so whoever hears this router is heard as well.
    this.#connect(identity);
    const endpoints = directory.all().map(({ id }) => id);
    this.#send(identity.id, peerUpdates.wholeState(endpoints));
  }

  #learn(identity: RouterIdentity): void {
    this.#options.routerDirectory.learn(identity, this.#options.timers.now());
    this.#arrange();
  }

  /** Connects to the relays and drops connections that serve nobody. */
  #arrange(): void {
    const { routerDirectory } = this.#options;
    const connected = new Set(
      [...this.#peers.values()]
        .filter(peer => peer.connected)
        .map(({ identity }) => identity.id),
    );
    const { links, isRelay } = chooseRelays({
      self: this.#self.id,
      known: [
        { id: this.#self.id, power: this.#self.power ?? 1 },
        ...routerDirectory.relayCandidates(),
      ],
      connected,
    });
    this.#options.peerUpdates.isRelay = isRelay;
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
        void peer.link.close();
      }
    }
  }

  #connect(identity: RouterIdentity): void {
    const known = this.#peers.get(identity.id);
    if (known && sameAddress(known.identity, identity)) {
      return;
    }
    if (known) {
      void known.link.close();
    }
    const { timers, random, log } = this.#options;
    const link = new PeerLink({
      peer: identity.id,
      address: identity.address,
      proof: this.#proof,
      meter: this.#meter,
      random,
      listener: {
        connected: () => {
          this.#linkChanged(identity.id, true);
        },
        disconnected: () => {
          this.#linkChanged(identity.id, false);
        },
        gossip: (peer, frame) => {
          this.#received(peer, frame);
        },
        malformed: peer => {
          log.write('peer-malformed', { peer });
        },
      },
    });
    this.#peers.set(identity.id, {
      identity,
      link,
      heardAt: timers.now(),
      connected: false,
    });
  }

  #linkChanged(id: RouterId, connected: boolean): void {
    const peer = this.#peers.get(id);
    if (!peer || peer.connected === connected) {
      return;
    }
    const { log, peerUpdates, timers } = this.#options;
    peer.connected = connected;
    peer.heardAt = timers.now();
    if (!connected) {
      peerUpdates.peerGone(id);
    }
    log.write(connected ? 'peer-connected' : 'peer-lost', { peer: id });
    this.#arrange();
  }

  #received(id: RouterId, frame: GossipFrame): void {
    const { peerUpdates, timers, log } = this.#options;
    const now = timers.now();
    this.#clock.receive(frame.h);
    const peer = this.#peers.get(id);
    if (peer) {
      peer.heardAt = now;
    }
    const { version, malformed } = peerUpdates.receive(id, frame.t, now);
    if (malformed > 0) {
      log.write('peer-malformed', { peer: id, entries: malformed });
    }
    if (peerUpdates.isUrgent || peerUpdates.hasNewParts) {
      this.flushSoon();
    }
    const isNewer = version !== undefined && this.#isNewer(version);
    if (peer && (isNewer || !this.#options.directory.loaded)) {
      void this.#fetch(peer);
    }
  }

  #isNewer(version: number): boolean {
    const own = this.#options.routes.version;
    return own === undefined || version > own;
  }

  /** Takes from a peer what is newer there, as the store's own news may be late or missing. */
  async #fetch(peer: Peer): Promise<void> {
    if (this.#fetching) {
      return;
    }
    this.#fetching = true;
    const { fleetReplica, log } = this.#options;
    try {
      const read = fleetSnapshotSchema.safeParse(
        await peer.link.fetchConfiguration(),
      );
      if (!read.success) {
        log.write('peer-malformed', { peer: peer.identity.id });
        return;
      }
      const { version, raw, endpoints } = read.data;
      if (this.#isNewer(version) && raw.length > 0) {
        fleetReplica.applyConfiguration(raw, 'peer');
      }
      if (endpoints) {
        fleetReplica.applyPeerEndpoints(endpoints, peer.identity.id);
      }
    } catch (error) {
      log.write('peer-fetch-failed', {
        peer: peer.identity.id,
        error: String(error),
      });
    } finally {
      this.#fetching = false;
    }
  }

  /** Tells news shortly, with those that come meanwhile. */
  flushSoon(): void {
    this.#teller.flushSoon();
  }

  #send(peer: RouterId, topics: GossipFrame['t']): void {
    this.#server.send(peer, { h: this.#clock.next(), t: topics });
  }

  /** Renews silent connections and forgets routers that stay away. */
  #inspect(now: Instant): void {
    const { routerDirectory } = this.#options;
    for (const [id, peer] of this.#peers) {
      const silence = elapsed(peer.heardAt, now);
      if (peer.connected && silence > SILENCE_LIMIT) {
        peer.link.reset();
      } else if (peer.connected) {
        routerDirectory.confirm(id, now);
      } else {
        routerDirectory.forgetIfAbsent(id, now);
      }
    }
    this.#arrange();
  }
}

function sameAddress(left: RouterIdentity, right: RouterIdentity): boolean {
  return (
    left.address.host === right.address.host &&
    left.address.port === right.address.port
  );
}

function readIdentity(value: Uint8Array): RouterIdentity | undefined {
  try {
    const text = new TextDecoder().decode(value);
    const read = identitySchema.safeParse(JSON.parse(text));
    return read.success ? read.data : undefined;
  } catch {
    // Not JSON: a row of another writer, which names no router.
    return undefined;
  }
}

function pause(timers: TimerService, length: Milliseconds): Promise<void> {
  return new Promise(resolve => {
    timers.after(length, () => {
      resolve();
    });
  });
}
