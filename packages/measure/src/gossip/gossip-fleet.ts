/**
 * A fleet of routers' gossip without sockets: messages arrive after a delay, the
 * table is down, and a stand-in for load reports uses the rest of the budget.
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

const ROUND = milliseconds(250);
const SHORTEST_DELAY_MS = 1;
const LONGEST_DELAY_MS = 40;
interface Router {
  readonly id: RouterId;
  readonly keeper: ConfigurationReplica;
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
  readonly #routers = new Map<RouterId, Router>();

  constructor(options: GossipFleetOptions) {
    this.#random = new Random(options.seed);
    this.#loss = options.loss;
    for (let index = 0; index < options.routers; index += 1) {
      const id = routerId(`router-${index}`);
      this.#routers.set(id, this.#build(id));
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

  /** Lets time pass, in milliseconds. */
  advance(length: number): void {
    this.#timers.advance(milliseconds(length));
  }

  /** Accepts one change at one router; the others learn of it from peers only. */
  acceptChange(value: number): void {
    const [first] = this.#routers.values();
    if (!first) {
      return;
    }
    const { keeper } = first;
    const change = { kind: 'set-defaults', values: { teamLimit: value } };
    const record: ConfigurationRecord = {
      version: keeper.version + 1,
      changeId: `change-${value}`,
      who: 'operator@example.org',
      when: 1_800_000_000_000,
      change: change as ConfigurationRecord['change'],
      hash: contentHash({
        defaults: { teamLimit: value },
        exceptions: [],
      }),
    };
    keeper.applyRecord(record);
  }

  /** Runs until every router has a version; returns the times at which each got it, in order. */
  propagationTimes(version: number, limit: number): number[] {
    const start = this.#timers.now();
    const step = milliseconds(10);
    const waiting = new Set(this.#routers.values());
    const times: number[] = [];
    while (waiting.size > 0 && this.#timers.now() - start < limit) {
      this.#timers.advance(step);
      for (const router of waiting) {
        if (router.keeper.version >= version) {
          waiting.delete(router);
          times.push(this.#timers.now() - start);
        }
      }
    }
    return times;
  }

  #build(id: RouterId): Router {
    const random = new Random(this.#random.seed());
    const keeper = new ConfigurationReplica({
      random,
      recorder: new NoopEventRecorder(),
      routerCount: () => this.#routers.size,
    });
    const topics = [
      new ConfigurationTopic({ replica: keeper }),
      new BusyTopic(),
    ];
    return { id, keeper, scheduler: new GossipScheduler({ topics, random }) };
  }

  #start(router: Router): void {
    for (const id of this.#routers.keys()) {
      if (id !== router.id) {
        router.scheduler.addPeer(id);
      }
    }
    const phase = milliseconds(this.#random.integer(0, ROUND - 1));
    this.#timers.after(phase, () => {
      this.#timers.every(ROUND, now => {
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
      // The sender sees the broken connection and tells everything afresh.
      const sender = this.#routers.get(from);
      sender?.scheduler.removePeer(message.peer);
      sender?.scheduler.addPeer(message.peer);
      return;
    }
    const delay = this.#random.integer(SHORTEST_DELAY_MS, LONGEST_DELAY_MS);
    this.#timers.after(milliseconds(delay), now => {
      to.scheduler.receive(from, message.topics, now);
    });
  }
}
