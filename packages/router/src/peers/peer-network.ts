/** Connects this router to all others and carries their gossip. */
import type { ConfigurationReplica } from '@sesamegrade/core/configuration/configuration-replica';
import type { ConfigurationTopic } from '@sesamegrade/core/configuration/configuration-topic';
import type { GossipScheduler } from '@sesamegrade/core/gossip/gossip-scheduler';
import { jsonSize } from '@sesamegrade/core/gossip/json-size';
import type { RouterTable } from '@sesamegrade/core/membership/router-table';
import type { Random } from '@sesamegrade/core/random/random';
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
/** Rounds of `RECONCILE` after which an unanswered probe breaks a link. */
const PROBE_ROUNDS = 3;
/** Links looked at per `RECONCILE`. */
const MAX_LINKS_CHECKED = 16;

export interface PeerNetworkOptions {
  readonly secret: string;
  readonly routers: RouterTable;
  readonly scheduler: GossipScheduler;
  readonly keeper: ConfigurationReplica;
  readonly configurationTopic: ConfigurationTopic;
  readonly clock: HybridClock;
  readonly timers: TimerService;
  readonly random: Random;
}

export interface PeerCounters {
  malformed: number;
  /** Messages for peers whose feed had just ended. */
  unsent: number;
}

/** The one link that is being probed. */
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
  /** What had been heard over a link when it was last looked at. */
  readonly #heard = new WeakMap<PeerLink, number>();
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

  /** Connections that were refused for want of a proof. */
  get rejected(): number {
    return this.#server.rejected;
  }

  /** Peers whose gossip this router receives. */
  get connected(): RouterId[] {
    const links = [...this.#links].filter(([, link]) => link.verified);
    return links.map(([peer]) => peer);
  }

  /** Listens on this router's own peer address and begins to connect. */
  async start(): Promise<Address> {
    const { timers, routers } = this.#options;
    const address = await this.#server.listen(routers.self.address);
    this.#cancels.push(
      timers.every(GOSSIP_PERIOD, now => {
        this.#round(now);
      }),
      timers.every(RECONCILE_PERIOD, () => {
        this.reconcile();
        this.#probeNext();
      }),
    );
    this.reconcile();
    return address;
  }

  /** Sends what is due now, such as the news that this router leaves. */
  flush(): void {
    this.#round(this.#options.timers.now());
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

  /** Makes links to routers that joined and drops those of routers that are gone. */
  reconcile(): void {
    const wanted = new Map<RouterId, Address>();
    for (const row of this.#options.routers.peers()) {
      wanted.set(row.id, row.address);
    }
    for (const [peer, link] of this.#links) {
      const address = wanted.get(peer);
      const same =
        address?.host === link.address.host &&
        address.port === link.address.port;
      if (!same) {
        this.#links.delete(peer);
        void link.close();
      }
    }
    for (const [peer, address] of wanted) {
      if (!this.#links.has(peer)) {
        this.#links.set(peer, this.#open(peer, address));
      }
    }
  }

  #open(peer: RouterId, address: Address): PeerLink {
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
          this.#received(id, frame);
        },
        onMalformed: () => {
          this.counters.malformed += 1;
        },
      },
    });
  }

  #received(peer: RouterId, frame: GossipFrame): void {
    const { clock, scheduler, timers, routers } = this.#options;
    const now = timers.now();
    clock.receive(frame.h);
    routers.onMessage(peer, now);
    scheduler.receive(peer, frame.t, now);
    this.#fetchConfiguration();
  }

  #round(now: Instant): void {
    const { scheduler, clock } = this.#options;
    for (const { peer, topics } of scheduler.round(now)) {
      const frame = { h: clock.next(), t: topics };
      if (!this.#server.send(peer, frame)) {
        this.counters.unsent += 1;
      }
    }
  }

  /** Fetches the whole configuration when changes in between are missing. */
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
        // The connection broke; the next version number asks again.
      },
    );
  }

  /**
   * Looks at some links in turn and probes the first that was silent since it
   * was last looked at: at most one probe a second, whatever the fleet's size.
   */
  #probeNext(): void {
    if (this.#awaitsProbe()) {
      return;
    }
    const looks = Math.min(MAX_LINKS_CHECKED, this.#links.size);
    for (let look = 0; look < looks; look += 1) {
      const [first] = this.#links;
      if (first && this.#isSilent(...first)) {
        const [peer, link] = first;
        this.#probe = { peer, receivedCount: link.receivedCount, rounds: 0 };
        link.probe();
        return;
      }
    }
  }

  /** Whether a probe's answer may still come; breaks the link when it is late. */
  #awaitsProbe(): boolean {
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

  /** Moves a link to the end of the order; tells whether it was silent. */
  #isSilent(peer: RouterId, link: PeerLink): boolean {
    this.#links.delete(peer);
    this.#links.set(peer, link);
    const silent =
      link.verified && this.#heard.get(link) === link.receivedCount;
    this.#heard.set(link, link.receivedCount);
    return silent;
  }
}
