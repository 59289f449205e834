/**
 * Simulates the gossip of a fleet of routers without sockets. Messages arrive after
 * a delay, the store is unavailable, and a stand-in for load reports uses the
 * remaining budget of each message.
 */
import { ConfigurationReplica } from '@sesamegrade/core/configuration/configuration-replica';
import { ConfigurationTopic } from '@sesamegrade/core/configuration/configuration-topic';
import { contentHash } from '@sesamegrade/core/configuration/content';
import type { ConfigurationRecord } from '@sesamegrade/core/configuration/content';
import { GossipScheduler } from '@sesamegrade/core/gossip/gossip-scheduler';
import type { GossipMessage } from '@sesamegrade/core/gossip/gossip-scheduler';
import { Random } from '@sesamegrade/core/random/random';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import { NoopEventRecorder } from '@sesamegrade/core/timeline/event';
import { routerId } from '@sesamegrade/core/types/ids';
import type { RouterId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import { BusyTopic } from './busy-topic';

const ROUND_PERIOD = milliseconds(250);
const MIN_DELAY_MS = 1;
const MAX_DELAY_MS = 40;
interface GossipRouter {
  readonly id: RouterId;
  readonly replica: ConfigurationReplica;
  readonly scheduler: GossipScheduler;
}

export interface GossipFleetOptions {
  readonly routers: number;
  readonly seed: number;
  /** Fraction of messages that are lost with their connection. */
  readonly loss: number;
}

export class GossipFleet {
  readonly #timers = new ManualTimerService();
  readonly #random: Random;
  readonly #loss: number;
  readonly #routers = new Map<RouterId, GossipRouter>();

  constructor(options: GossipFleetOptions) {
    this.#random = new Random(options.seed);
    this.#loss = options.loss;
    for (let index = 0; index < options.routers; index += 1) {
      const id = routerId(`router-${index}`);
      this.#routers.set(id, this.#buildRouter(id));
    }
    for (const router of this.#routers.values()) {
      this.#start(router);
    }
  }

  /** Bytes sent per router and second since the start. */
  get bytesPerRouterSecond(): number {
    let total = 0;
    for (const { scheduler } of this.#routers.values()) {
      total += scheduler.counters.bytes;
    }
    return (total / this.#routers.size / this.#timers.now()) * 1000;
  }

  /** Advances the simulated time by a number of milliseconds. */
  advance(duration: number): void {
    this.#timers.advance(milliseconds(duration));
  }

  /** Accepts one change at one router; the others receive it only from peers. */
  acceptChange(value: number): void {
    const [first] = this.#routers.values();
    if (!first) {
      return;
    }
    const { replica } = first;
    const change = { kind: 'set-defaults', values: { teamLimit: value } };
    const record: ConfigurationRecord = {
      version: replica.version + 1,
      changeId: `change-${value}`,
      who: 'operator@example.org',
      when: 1_800_000_000_000,
      change: change as ConfigurationRecord['change'],
      hash: contentHash({
        defaults: { teamLimit: value },
        exceptions: [],
      }),
    };
    replica.applyRecord(record);
  }

  /**
   * Runs until every router has a version or the limit passes. Returns the time
   * after which each router had it, in milliseconds and ascending.
   */
  propagationTimes(version: number, limit: number): number[] {
    const start = this.#timers.now();
    const step = milliseconds(10);
    const pending = new Set(this.#routers.values());
    const times: number[] = [];
    while (pending.size > 0 && this.#timers.now() - start < limit) {
      this.#timers.advance(step);
      for (const router of pending) {
        if (router.replica.version >= version) {
          pending.delete(router);
          times.push(this.#timers.now() - start);
        }
      }
    }
    return times;
  }

  #buildRouter(id: RouterId): GossipRouter {
    const random = new Random(this.#random.seed());
    const replica = new ConfigurationReplica({
      random,
      recorder: new NoopEventRecorder(),
      routerCount: () => this.#routers.size,
    });
    const topics = [new ConfigurationTopic({ replica }), new BusyTopic()];
    return { id, replica, scheduler: new GossipScheduler({ topics, random }) };
  }

  #start(router: GossipRouter): void {
    for (const id of this.#routers.keys()) {
      if (id !== router.id) {
        router.scheduler.addPeer(id);
      }
    }
    const phase = milliseconds(this.#random.integer(0, ROUND_PERIOD - 1));
    this.#timers.after(phase, () => {
      this.#timers.every(ROUND_PERIOD, now => {
        for (const message of router.scheduler.round(now)) {
          this.#deliver(router.id, message);
        }
      });
    });
  }

  #deliver(from: RouterId, message: GossipMessage): void {
    const to = this.#routers.get(message.peer);
    if (!to) {
      return;
    }
    if (this.#random.fraction() < this.#loss) {
      // The sender sees the broken connection and starts over with all its state.
      const sender = this.#routers.get(from);
      sender?.scheduler.removePeer(message.peer);
      sender?.scheduler.addPeer(message.peer);
      return;
    }
    const delay = this.#random.integer(MIN_DELAY_MS, MAX_DELAY_MS);
    this.#timers.after(milliseconds(delay), now => {
      to.scheduler.receive(from, message.topics, now);
    });
  }
}
