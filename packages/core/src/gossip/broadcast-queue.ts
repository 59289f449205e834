/** News that spread as an epidemic: each is told to a number of peers and then rests. */
import type { RouterId } from '../types/ids';
import type { Bytes } from '../types/units';
import { jsonSize } from './json-size';

interface Rumor<Value> {
  readonly value: Value;
  readonly size: number;
  readonly told: Set<RouterId>;
}

/** Peers told per doubling of the fleet; all of them up to about 16. */
const PEERS_PER_DOUBLING = 4;
const MAX_RUMORS = 4096;

export class BroadcastQueue<Value> {
  readonly #rumors = new Map<string, Rumor<Value>>();

  get size(): number {
    return this.#rumors.size;
  }

  /** Starts to tell a piece of news; a newer one replaces it under the same key. */
  add(key: string, value: Value): void {
    this.#rumors.delete(key);
    const size = jsonSize(value) + 1;
    this.#rumors.set(key, { value, size, told: new Set() });
    if (this.#rumors.size > MAX_RUMORS) {
      const [oldest] = this.#rumors.keys();
      this.#rumors.delete(oldest ?? key);
    }
  }

  /** A peer told the same, so that it need not hear it again. */
  receivedFrom(peer: RouterId, key: string): void {
    this.#rumors.get(key)?.told.add(peer);
  }

  /** Returns what a peer has not been told yet and fits into the budget. */
  take(peer: RouterId, budget: Bytes, peerCount: number): Value[] {
    const doublings = Math.log2(Math.max(1, peerCount) + 1);
    const enough = Math.min(
      peerCount,
      Math.ceil(PEERS_PER_DOUBLING * doublings),
    );
    const taken: Value[] = [];
    let left: number = budget;
    for (const [key, rumor] of this.#rumors) {
      if (!rumor.told.has(peer) && rumor.size <= left) {
        left -= rumor.size;
        rumor.told.add(peer);
        taken.push(rumor.value);
      }
      if (rumor.told.size >= enough) {
        this.#rumors.delete(key);
      }
    }
    return taken;
  }
}
