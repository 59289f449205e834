/** Simulates the load messages between routers. */
import { bytes } from '@sesamegrade/core/types/units';
import type { EventQueue } from './event-queue';
import type { ByteMeter } from './meters';
import type { SimulatedRouter } from './simulated-router';
import { toInstant } from './simulated-router';
import { MESSAGE_OVERHEAD_BYTES } from './wire-sizes';

/** One-way delay between two routers. */
export const WIRE_DELAY_SECONDS = 0.002;

export interface LoadExchangeSettings {
  /** Time between two load messages to the same peer, in seconds. */
  readonly sendPeriod: number;
  /** Maximum size of a load message, in bytes. */
  readonly sendBudget: number;
  /** Time over which a load view averages reports if peers send counts, in seconds. */
  readonly averaging: number;
  /** The same if peers send no counts. */
  readonly averagingWithoutCounts: number;
  /** Time over which the weight of an old report decays in favour of the average load, in seconds. */
  readonly reportDecay: number;
}

export class PeerTraffic {
  readonly #routers: readonly SimulatedRouter[];
  readonly #queue: EventQueue;
  readonly #bytes: ByteMeter;
  readonly #exchange: LoadExchangeSettings;

  constructor(
    routers: readonly SimulatedRouter[],
    queue: EventQueue,
    meter: ByteMeter,
    exchange: LoadExchangeSettings,
  ) {
    this.#routers = routers;
    this.#queue = queue;
    this.#bytes = meter;
    this.#exchange = exchange;
  }

  /** Starts the periodic sending of every router, each with its own offset. */
  start(): void {
    const { sendPeriod } = this.#exchange;
    this.#routers.forEach((_, index) => {
      const offset = (sendPeriod * index) / this.#routers.length;
      this.#scheduleSend(index, offset);
    });
  }

  #scheduleSend(index: number, at: number): void {
    this.#queue.add(at, () => {
      this.#sendLoads(index, at);
      this.#scheduleSend(index, at + this.#exchange.sendPeriod);
    });
  }

  #sendLoads(index: number, now: number): void {
    const from = this.#routers[index];
    const budget = bytes(this.#exchange.sendBudget);
    for (const to of this.#routers) {
      if (!from || to === from) {
        continue;
      }
      const entries = from.topic.take(to.id, budget, toInstant(now));
      if (entries.length === 0) {
        continue;
      }
      const text = JSON.stringify(entries);
      this.#bytes.add(index, text.length + MESSAGE_OVERHEAD_BYTES);
      const arrival = now + WIRE_DELAY_SECONDS;
      this.#queue.add(arrival, () => {
        to.topic.receive(from.id, entries, toInstant(arrival));
      });
    }
  }
}
