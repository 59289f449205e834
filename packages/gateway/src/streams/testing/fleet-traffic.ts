/** Counts what the routers of a simulated fleet send for records of streams, by seconds. */
import { binaryEncoder } from '@sesamegrade/router/peers/peer-message';
import type { RouterId } from '@sesamegrade/core/types/ids';
import type { SimulatedTraffic } from './simulated-router';

const SECOND_MS = 1000;
const LARGEST_ID = 1_000_000;

interface Sum {
  count: number;
  bytes: number;
  /** Bytes of the largest one. */
  largest: number;
}

export class FleetTraffic implements SimulatedTraffic {
  callTime = 0;
  readonly #now: () => number;
  readonly #sums = new Map<string, Map<number, Sum>>();

  constructor(now: () => number) {
    this.#now = now;
  }

  onRecords(_from: RouterId, relay: RouterId, input: unknown): void {
    const request = {
      id: LARGEST_ID,
      method: 'mutation',
      params: { input, path: 'record' },
    };
    const { byteLength } = binaryEncoder.encode(request);
    this.#add(`records ${relay}`, byteLength);
  }

  onWritten(writer: RouterId, _key: string, size: number): void {
    this.#add(`writes ${writer}`, size);
  }

  onRead(reader: RouterId, size: number): void {
    this.#add(`reads ${reader}`, size);
  }

  /** The largest sums of a second, from a time on, of `records`, `writes` or `reads` and a router. */
  worst(name: string, from = 0): Sum {
    const worst: Sum = { count: 0, bytes: 0, largest: 0 };
    for (const [second, sum] of this.#sums.get(name) ?? []) {
      if (second * SECOND_MS >= from) {
        worst.count = Math.max(worst.count, sum.count);
        worst.bytes = Math.max(worst.bytes, sum.bytes);
        worst.largest = Math.max(worst.largest, sum.largest);
      }
    }
    return worst;
  }

  #add(name: string, bytes: number): void {
    const seconds = this.#sums.get(name) ?? new Map<number, Sum>();
    const second = Math.floor(this.#now() / SECOND_MS);
    const sum = seconds.get(second) ?? { count: 0, bytes: 0, largest: 0 };
    sum.count += 1;
    sum.bytes += bytes;
    sum.largest = Math.max(sum.largest, bytes);
    this.#sums.set(name, seconds.set(second, sum));
  }
}
