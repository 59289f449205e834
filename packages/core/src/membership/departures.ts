/**
 * Records which process starts have announced that they leave. It outlives the
 * members' rows, so that an outdated list cannot bring back a member that left.
 */
import type { Incarnation } from '../types/ids';

const MAX_DEPARTURES = 65_536;

export class Departures<Id extends string> {
  readonly #departed = new Map<Id, Incarnation>();

  /** Records that this process start, and with it every earlier one, leaves. */
  add(id: Id, incarnation: Incarnation): void {
    const previous = this.#departed.get(id);
    if (previous !== undefined && previous >= incarnation) {
      return;
    }
    this.#departed.delete(id);
    this.#departed.set(id, incarnation);
    if (this.#departed.size > MAX_DEPARTURES) {
      this.#dropOldest();
    }
  }

  has(id: Id, incarnation: Incarnation): boolean {
    const departed = this.#departed.get(id);
    return departed !== undefined && incarnation <= departed;
  }

  /** Returns the highest incarnation that left. */
  get(id: Id): Incarnation | undefined {
    return this.#departed.get(id);
  }

  #dropOldest(): void {
    for (const id of this.#departed.keys()) {
      this.#departed.delete(id);
      return;
    }
  }
}
