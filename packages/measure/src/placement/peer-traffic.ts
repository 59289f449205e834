/** Messages about load between the routers of a measurement. */
import { bytes } from '@sesamegrade/core/types/units';
import type { EventQueue } from './event-queue';
import type { ByteMeter } from './meters';
import type { RouterFake } from './router-fake';
import { toInstant } from './router-fake';
import { messageOverhead } from './wire-sizes';

/** One way time between two routers, in seconds. */
export const wireDelay = 0.002;

export interface Tuning {
  /** Time between two messages about load to the same peer, in seconds. */
  readonly tellPeriod: number;
  /** Largest message about load, in bytes. */
  readonly tellBudget: number;
  /** Time over which a load view averages reports beside told counts, in seconds. */
  readonly averaging: number;
  /** The same without told counts. */
  readonly averagingUntold: number;
  /** Time over which an old report gives way to the average load, in seconds. */
  readonly reportDecay: number;
}

export class PeerTraffic {
  readonly #routers: readonly RouterFake[];
  readonly #queue: EventQueue;
  readonly #bytes: ByteMeter;
  readonly #tuning: Tuning;

  constructor(
    routers: readonly RouterFake[],
    queue: EventQueue,
    meter: ByteMeter,
    tuning: Tuning,
  ) {
    this.#routers = routers;
    this.#queue = queue;
    this.#bytes = meter;
    this.#tuning = tuning;
  }

  /** Lets every router tell its peers, each from its own offset on. */
  start(): void {
    const { tellPeriod } = this.#tuning;
    this.#routers.forEach((_, index) => {
      const offset = (tellPeriod * index) / this.#routers.length;
      this.#tellAt(index, offset);
    });
  }

  #tellAt(index: number, at: number): void {
    this.#queue.add(at, () => {
      this.#tell(index, at);
      this.#tellAt(index, at + this.#tuning.tellPeriod);
    });
  }

  #tell(index: number, now: number): void {
    const from = this.#routers[index];
    const budget = bytes(this.#tuning.tellBudget);
    for (const to of this.#routers) {
      if (!from || to === from) {
        continue;
      }
      const entries = from.topic.take(to.id, budget, toInstant(now));
      if (entries.length === 0) {
        continue;
      }
      const text = JSON.stringify(entries);
      this.#bytes.add(index, text.length + messageOverhead);
      const arrival = now + wireDelay;
      this.#queue.add(arrival, () => {
        to.topic.receive(from.id, entries, toInstant(arrival));
      });
    }
  }
}
