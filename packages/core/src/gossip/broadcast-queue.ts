/**
 * Queue of values that spread epidemically: each is sent to a number of peers,
 * which pass it on, and is then removed.
 */
import type { RouterId } from '../types/ids';
import type { Bytes } from '../types/units';
import { jsonSize } from './json-size';

interface Broadcast<Value> {
  readonly value: Value;
  readonly size: number;
  readonly sentTo: Set<RouterId>;
}

/**
 * Peers per doubling of the fleet to which a value is sent; up to about 16
 * peers, all of them.
 */
const PEERS_PER_DOUBLING = 4;
const MAX_BROADCASTS = 4096;

export class BroadcastQueue<Value> {
  readonly #broadcasts = new Map<string, Broadcast<Value>>();

  get size(): number {
    return this.#broadcasts.size;
  }

  /** Queues a value; it replaces an earlier one under the same key. */
  add(key: string, value: Value): void {
    this.#broadcasts.delete(key);
    const size = jsonSize(value) + 1;
    this.#broadcasts.set(key, { value, size, sentTo: new Set() });
    if (this.#broadcasts.size > MAX_BROADCASTS) {
      const [oldest] = this.#broadcasts.keys();
      this.#broadcasts.delete(oldest ?? key);
    }
  }

  /** Records that a peer sent the same value, so that it is not sent back. */
  receivedFrom(peer: RouterId, key: string): void {
    this.#broadcasts.get(key)?.sentTo.add(peer);
  }

  /**
   * Returns the values that were not sent to the peer yet and fit into the
   * budget, and records them as sent.
   */
  take(peer: RouterId, budget: Bytes, peerCount: number): Value[] {
    const doublings = Math.log2(Math.max(1, peerCount) + 1);
    const targetCount = Math.min(
      peerCount,
      Math.ceil(PEERS_PER_DOUBLING * doublings),
    );
    const taken: Value[] = [];
    let remaining: number = budget;
    for (const [key, broadcast] of this.#broadcasts) {
      if (!broadcast.sentTo.has(peer) && broadcast.size <= remaining) {
        remaining -= broadcast.size;
        broadcast.sentTo.add(peer);
        taken.push(broadcast.value);
      }
      if (broadcast.sentTo.size >= targetCount) {
        this.#broadcasts.delete(key);
      }
    }
    return taken;
  }
}
