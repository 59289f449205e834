/** Routers in one process that are connected by real sockets on the loopback interface. */
import { ConfigurationReplica } from '@sesamegrade/core/configuration/configuration-replica';
import { ConfigurationTopic } from '@sesamegrade/core/configuration/configuration-topic';
import { GossipScheduler } from '@sesamegrade/core/gossip/gossip-scheduler';
import { EndpointTable } from '@sesamegrade/core/membership/endpoint-table';
import { MembershipTopic } from '@sesamegrade/core/membership/membership-topic';
import { RouterTable } from '@sesamegrade/core/membership/router-table';
import { Random } from '@sesamegrade/core/random/random';
import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { NoopEventRecorder } from '@sesamegrade/core/timeline/event';
import { HybridClock } from '@sesamegrade/core/timeline/hybrid-clock';
import type { Address } from '@sesamegrade/core/types/endpoint';
import { incarnation, routerId, zoneId } from '@sesamegrade/core/types/ids';
import { PeerNetwork } from '@sesamegrade/router/peers/peer-network';
import { SystemTimerService } from '@sesamegrade/router/process/system-timer-service';
import { BusyTopic } from '../gossip/busy-topic';

const SECRET = 'of the measured fleet';

interface PeerRouter {
  readonly name: string;
  readonly routers: RouterTable;
  readonly scheduler: GossipScheduler;
  readonly network: PeerNetwork;
  readonly bound: Address;
}

/** Totals over all routers. */
export interface PeerTotals {
  readonly messages: number;
  /** Bytes of the messages with all headers, as the scheduler estimates them. */
  readonly estimated: number;
  /** Bytes on sockets in both directions, without TCP and IP headers. */
  readonly onSockets: number;
}

export class PeerFleet {
  readonly #timers = new SystemTimerService();
  readonly #random: Random;
  #routers: readonly PeerRouter[] = [];

  constructor(seed: number) {
    this.#random = new Random(seed);
  }

  /** Starts routers that are all peers of each other, and resolves when all are connected. */
  async start(count: number): Promise<void> {
    const names = Array.from(
      { length: count },
      (_, index) => `router-${index}`,
    );
    this.#routers = await Promise.all(
      names.map(name => this.#buildRouter(name)),
    );
    const list = this.#routers.map(({ name, bound }) => ({
      ...{ vm: name, kind: 'router', zone: 'a', ...bound },
      ...{ state: 'live', incarnation: 1, capacity: 0 },
    }));
    for (const { routers, network } of this.#routers) {
      routers.onVmList(list, this.#timers.now());
      network.reconcile();
    }
    while (!this.#isFullyConnected(count - 1)) {
      await this.wait(20);
    }
  }

  /** Waits for a number of milliseconds of real time. */
  wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
  }

  totals(): PeerTotals {
    let [messages, estimated, onSockets] = [0, 0, 0];
    for (const { scheduler, network } of this.#routers) {
      const { read, written } = network.bytes;
      messages += scheduler.counters.messages;
      estimated += scheduler.counters.bytes;
      onSockets += read + written;
    }
    return { messages, estimated, onSockets };
  }

  async stop(): Promise<void> {
    await Promise.all(this.#routers.map(({ network }) => network.stop()));
    this.#timers.stop();
  }

  #isFullyConnected(peers: number): boolean {
    return this.#routers.every(
      ({ network, scheduler }) =>
        network.connectedPeers.length === peers &&
        scheduler.peers.size === peers,
    );
  }

  async #buildRouter(name: string): Promise<PeerRouter> {
    const timers = this.#timers;
    const random = new Random(this.#random.seed());
    const recorder = new NoopEventRecorder();
    const address = { host: '127.0.0.1', port: 0 };
    const id = routerId(name);
    const self = {
      id,
      incarnation: incarnation(1),
      zone: zoneId('a'),
      address,
    };
    const routers = new RouterTable({ self, recorder });
    const endpoints = new EndpointTable({ recorder });
    endpoints.onVmList([], timers.now());
    const routerCount = () => routers.peers().length + 1;
    const replica = new ConfigurationReplica({ random, recorder, routerCount });
    const configurationTopic = new ConfigurationTopic({ replica });
    const membership = new MembershipTopic({ routers, endpoints });
    const topics = [membership, configurationTopic, new BusyTopic()];
    const scheduler = new GossipScheduler({ topics, random });
    const clock = new HybridClock(() => timers.wallTime());
    const parts = {
      routers,
      scheduler,
      keeper: replica,
      configurationTopic,
      clock,
    };
    const network = new PeerNetwork({
      secret: SECRET,
      ...parts,
      timers,
      random,
      backgroundTasks: new BackgroundTasks(({ error }) => {
        throw error;
      }),
    });
    const bound = await network.start();
    // The router's entry, which peers receive, now has the port that was assigned.
    Object.assign(address, bound);
    return { name, routers, scheduler, network, bound };
  }
}
