/**
 * Which process starts are known to have announced their leaving. It outlives
 * the rows of the members, so that no stale list brings one back.
 */
import type { Incarnation } from '../types/ids';

const MAX_DEPARTURES = 65_536;

export class Departures<Id extends string> {
  readonly #left = new Map<Id, Incarnation>();

  /** Remembers that this process start, and with it every earlier one, leaves. */
  add(id: Id, incarnation: Incarnation): void {
    const known = this.#left.get(id);
    if (known !== undefined && known >= incarnation) {
      return;
    }
    this.#left.delete(id);
    this.#left.set(id, incarnation);
    if (this.#left.size > MAX_DEPARTURES) {
      this.#dropOldest();
    }
  }

  has(id: Id, incarnation: Incarnation): boolean {
    const left = this.#left.get(id);
    return left !== undefined && incarnation <= left;
  }

  /** Returns the highest incarnation that left. */
  get(id: Id): Incarnation | undefined {
    return this.#left.get(id);
  }

  #dropOldest(): void {
    for (const id of this.#left.keys()) {
      this.#left.delete(id);
      return;
    }
  }
}
