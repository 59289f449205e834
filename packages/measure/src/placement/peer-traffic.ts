/** Messages about load between the routers of a measurement. */
import { bytes } from '@sesamegrade/core/types/units';
import type { EventQueue } from './event-queue';
import type { ByteMeter } from './meters';
import type { SimulatedRouter } from './simulated-router';
import { toInstant } from './simulated-router';
import { MESSAGE_OVERHEAD_BYTES } from './wire-sizes';

/** One way time between two routers, in seconds. */
export const WIRE_DELAY_SECONDS = 0.002;

export interface LoadExchangeSettings {
  /** Time between two messages about load to the same peer, in seconds. */
  readonly sendPeriod: number;
  /** Largest message about load, in bytes. */
  readonly sendBudget: number;
  /** Time over which a load view averages reports beside told counts, in seconds. */
  readonly averaging: number;
  /** The same without told counts. */
  readonly averagingWithoutCounts: number;
  /** Time over which an old report gives way to the average load, in seconds. */
  readonly reportDecay: number;
}

export class PeerTraffic {
  readonly #routers: readonly SimulatedRouter[];
  readonly #queue: EventQueue;
  readonly #bytes: ByteMeter;
  readonly #tuning: LoadExchangeSettings;

  constructor(
    routers: readonly SimulatedRouter[],
    queue: EventQueue,
    meter: ByteMeter,
    tuning: LoadExchangeSettings,
  ) {
    this.#routers = routers;
    this.#queue = queue;
    this.#bytes = meter;
    this.#tuning = tuning;
  }

  /** Lets every router tell its peers, each from its own offset on. */
  start(): void {
    const { sendPeriod: tellPeriod } = this.#tuning;
    this.#routers.forEach((_, index) => {
      const offset = (tellPeriod * index) / this.#routers.length;
      this.#tellAt(index, offset);
    });
  }

  #tellAt(index: number, at: number): void {
    this.#queue.add(at, () => {
      this.#tell(index, at);
      this.#tellAt(index, at + this.#tuning.sendPeriod);
    });
  }

  #tell(index: number, now: number): void {
    const from = this.#routers[index];
    const budget = bytes(this.#tuning.sendBudget);
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
