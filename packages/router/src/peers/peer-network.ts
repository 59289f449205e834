/** Connects this router to all peers and exchanges gossip with them. */
import type { ConfigurationReplica } from '@sesamegrade/core/configuration/configuration-replica';
import type { ConfigurationTopic } from '@sesamegrade/core/configuration/configuration-topic';
import type { GossipScheduler } from '@sesamegrade/core/gossip/gossip-scheduler';
import { jsonSize } from '@sesamegrade/core/gossip/json-size';
import type { RouterTable } from '@sesamegrade/core/membership/router-table';
import type { Random } from '@sesamegrade/core/random/random';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type {
  Cancel,
  TimerService,
} from '@sesamegrade/core/time/timer-service';
import type { HybridClock } from '@sesamegrade/core/timeline/hybrid-clock';
import type { Address } from '@sesamegrade/core/types/endpoint';
import type { RouterId } from '@sesamegrade/core/types/ids';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { Instant } from '@sesamegrade/core/types/units';
import { PeerLink } from './peer-link';
import type { GossipFrame } from './peer-message';
import { PeerProof } from './peer-proof';
import { PeerServer } from './peer-server';
import { SocketMeter } from './socket-meter';
import type { SocketBytes } from './socket-meter';

const GOSSIP_PERIOD = milliseconds(250);
const RECONCILE_PERIOD = seconds(1);
/** Number of `RECONCILE_PERIOD`s after which an unanswered probe resets the link. */
const PROBE_ROUNDS = 3;
/** Maximum number of links checked for silence per `RECONCILE_PERIOD`. */
const MAX_LINKS_CHECKED = 16;

export interface PeerNetworkOptions {
  readonly secret: string;
  readonly routers: RouterTable;
  readonly scheduler: GossipScheduler;
  readonly keeper: ConfigurationReplica;
  readonly configurationTopic: ConfigurationTopic;
  readonly clock: HybridClock;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
  readonly random: Random;
}

export interface PeerCounters {
  malformed: number;
  /** Messages for peers that were not subscribed any more. */
  unsent: number;
}

/** The pending probe; only one link is probed at a time. */
interface LinkProbe {
  readonly peer: RouterId;
  readonly receivedCount: number;
  rounds: number;
}

export class PeerNetwork {
  readonly counters: PeerCounters = { malformed: 0, unsent: 0 };
  readonly #options: PeerNetworkOptions;
  readonly #proof: PeerProof;
  readonly #meter = new SocketMeter();
  readonly #server: PeerServer;
  readonly #links = new Map<RouterId, PeerLink>();
  readonly #cancels: Cancel[] = [];
  /** `receivedCount` of each link when it was last checked. */
  readonly #lastReceivedCount = new WeakMap<PeerLink, number>();
  #probe: LinkProbe | undefined;

  constructor(options: PeerNetworkOptions) {
    this.#options = options;
    const { routers, scheduler, timers, keeper } = options;
    this.#proof = new PeerProof({
      self: routers.self,
      secret: options.secret,
      wallTime: () => timers.wallTime(),
    });
    this.#server = new PeerServer({
      self: routers.self,
      proof: this.#proof,
      meter: this.#meter,
      timers,
      snapshot: () => keeper.snapshot,
      listener: {
        onSubscribed: identity => {
          routers.onConnected(identity, timers.now());
          scheduler.addPeer(identity.id);
        },
        onUnsubscribed: peer => {
          scheduler.removePeer(peer);
        },
      },
    });
  }

  /** Bytes on all sockets between routers since the start, without TCP and IP headers. */
  get bytes(): SocketBytes {
    return this.#meter.total();
  }

  /** Number of connections that were refused because their proof was missing or invalid. */
  get rejected(): number {
    return this.#server.rejected;
  }

  /** Peers whose gossip this router receives. */
  get connectedPeers(): RouterId[] {
    const links = [...this.#links].filter(([, link]) => link.verified);
    return links.map(([peer]) => peer);
  }

  /** Listens on this router's own peer address and starts to connect to peers. */
  async start(): Promise<Address> {
    const { timers, routers } = this.#options;
    const address = await this.#server.listen(routers.self.address);
    this.#cancels.push(
      timers.every(GOSSIP_PERIOD, now => {
        this.#sendGossip(now);
      }),
      timers.every(RECONCILE_PERIOD, () => {
        this.reconcile();
        this.#probeNext();
      }),
    );
    this.reconcile();
    return address;
  }

  /** Runs a gossip round now, for example to announce that this router is leaving. */
  flush(): void {
    this.#sendGossip(this.#options.timers.now());
  }

  async stop(): Promise<void> {
    for (const cancel of this.#cancels) {
      cancel();
    }
    const links = [...this.#links.values()];
    this.#links.clear();
    await Promise.all(links.map(link => link.close()));
    await this.#server.close();
  }

  /** Opens links to routers that joined and closes links to routers that are gone or moved. */
  reconcile(): void {
    const addresses = new Map<RouterId, Address>();
    for (const row of this.#options.routers.peers()) {
      addresses.set(row.id, row.address);
    }
    for (const [peer, link] of this.#links) {
      const address = addresses.get(peer);
      const isSame =
        address?.host === link.address.host &&
        address.port === link.address.port;
      if (!isSame) {
        this.#links.delete(peer);
        this.#options.backgroundTasks.run('peer-close', () => link.close());
      }
    }
    for (const [peer, address] of addresses) {
      if (!this.#links.has(peer)) {
        this.#links.set(peer, this.#openLink(peer, address));
      }
    }
  }

  #openLink(peer: RouterId, address: Address): PeerLink {
    const { routers, timers, random } = this.#options;
    return new PeerLink({
      peer,
      address,
      proof: this.#proof,
      meter: this.#meter,
      random,
      listener: {
        onConnected: identity => {
          routers.onConnected(identity, timers.now());
        },
        onDisconnected: id => {
          routers.onDisconnected(id, timers.now());
        },
        onGossip: (id, frame) => {
          this.#onGossip(id, frame);
        },
        onMalformed: () => {
          this.counters.malformed += 1;
        },
      },
    });
  }

  #onGossip(peer: RouterId, frame: GossipFrame): void {
    const { clock, scheduler, timers, routers } = this.#options;
    const now = timers.now();
    clock.receive(frame.h);
    routers.onMessage(peer, now);
    scheduler.receive(peer, frame.t, now);
    this.#fetchConfiguration();
  }

  #sendGossip(now: Instant): void {
    const { scheduler, clock } = this.#options;
    for (const { peer, topics } of scheduler.round(now)) {
      const frame = { h: clock.next(), t: topics };
      if (!this.#server.send(peer, frame)) {
        this.counters.unsent += 1;
      }
    }
  }

  /** Fetches the complete configuration from a peer when intermediate changes are missing. */
  #fetchConfiguration(): void {
    const source = this.#options.configurationTopic.takeSnapshotSource();
    const link = source && this.#links.get(source);
    if (!link) {
      return;
    }
    link.fetchConfiguration().then(
      snapshot => {
        this.#options.scheduler.charge(jsonSize(snapshot));
        this.#options.keeper.applySnapshot(snapshot);
      },
      () => {
        // The connection was lost; the next received version number triggers another fetch.
      },
    );
  }

  /**
   * Checks some links in turn and probes the first one without a message since
   * its last check: at most one probe per second, whatever the size of the fleet.
   */
  #probeNext(): void {
    if (this.#isProbePending()) {
      return;
    }
    const checkCount = Math.min(MAX_LINKS_CHECKED, this.#links.size);
    for (let check = 0; check < checkCount; check += 1) {
      const [first] = this.#links;
      if (first && this.#isSilent(...first)) {
        const [peer, link] = first;
        this.#probe = { peer, receivedCount: link.receivedCount, rounds: 0 };
        link.probe();
        return;
      }
    }
  }

  /** Whether a probe is pending; resets the link when the response is late. */
  #isProbePending(): boolean {
    const probe = this.#probe;
    const link = probe && this.#links.get(probe.peer);
    if (!probe || !link?.verified || link.receivedCount > probe.receivedCount) {
      this.#probe = undefined;
      return false;
    }
    probe.rounds += 1;
    if (probe.rounds < PROBE_ROUNDS) {
      return true;
    }
    this.#probe = undefined;
    link.reset();
    return false;
  }

  /** Moves a link to the end of the rotation; returns whether it received nothing since its last check. */
  #isSilent(peer: RouterId, link: PeerLink): boolean {
    this.#links.delete(peer);
    this.#links.set(peer, link);
    const isSilent =
      link.verified && this.#lastReceivedCount.get(link) === link.receivedCount;
    this.#lastReceivedCount.set(link, link.receivedCount);
    return isSilent;
  }
}
