/** Shared prompt parts and the engines that are assumed to have them cached. */
import { LRUCache } from 'lru-cache';

import type { EndpointId, PromptPartId } from '../types/ids';

/** Maximum number of parts; the least recently used ones are evicted. */
const MAX_PARTS = 20_000;

const NO_ENGINES: ReadonlyMap<EndpointId, PartState> = new Map();

/**
 * Whether an engine is still prefilling a part (`reading`) or has it cached and
 * can transfer it (`held`).
 */
export type PartState = 'reading' | 'held';

export class PartLocations {
  readonly #parts = new LRUCache<PromptPartId, Map<EndpointId, PartState>>({
    max: MAX_PARTS,
  });

  /** Returns true if the state is new; a part that is `held` does not go back to `reading`. */
  add(part: PromptPartId, engine: EndpointId, state: PartState): boolean {
    const engines = this.#parts.get(part);
    if (!engines) {
      this.#parts.set(part, new Map([[engine, state]]));
      return true;
    }
    const previous = engines.get(engine);
    if (previous === state || previous === 'held') {
      return false;
    }
    engines.set(engine, state);
    return true;
  }

  /** Whether the engine has the part cached or is prefilling it. */
  isAt(part: PromptPartId, engine: EndpointId): boolean {
    return this.#parts.get(part)?.has(engine) ?? false;
  }

  /** Engines that have the part cached or are prefilling it. */
  engines(part: PromptPartId): ReadonlyMap<EndpointId, PartState> {
    return this.#parts.get(part) ?? NO_ENGINES;
  }

  /** Removes all parts of an engine that is gone or has restarted. */
  removeEngine(engine: EndpointId): void {
    for (const engines of this.#parts.values()) {
      engines.delete(engine);
    }
  }

  /** Yields every known location, for a peer that has just connected. */
  *pairs(): Generator<[PromptPartId, EndpointId, PartState]> {
    for (const [part, engines] of this.#parts.entries()) {
      for (const [engine, state] of engines) {
        yield [part, engine, state];
      }
    }
  }
}
