/** Which engines are thought to hold which shared parts of prompts. */
import { LRUCache } from 'lru-cache';

import type { EndpointId, PromptPartId } from '../types/ids';

/** Parts remembered; the least recently used go first. */
const MAX_PARTS = 20_000;

export class PartLocations {
  readonly #parts = new LRUCache<PromptPartId, Set<EndpointId>>({
    max: MAX_PARTS,
  });

  /** Returns true when the engine was not known to hold the part. */
  add(part: PromptPartId, engine: EndpointId): boolean {
    const engines = this.#parts.get(part);
    if (!engines) {
      this.#parts.set(part, new Set([engine]));
      return true;
    }
    const isNew = !engines.has(engine);
    engines.add(engine);
    return isNew;
  }

  remove(part: PromptPartId, engine: EndpointId): void {
    this.#parts.get(part)?.delete(engine);
  }

  holds(part: PromptPartId, engine: EndpointId): boolean {
    return this.#parts.get(part)?.has(engine) ?? false;
  }

  /** Forgets what an engine held that is gone or started anew. */
  forgetEngine(engine: EndpointId): void {
    for (const engines of this.#parts.values()) {
      engines.delete(engine);
    }
  }

  /** Every known pair, for a peer that has just connected. */
  *pairs(): Generator<[PromptPartId, EndpointId]> {
    for (const [part, engines] of this.#parts.entries()) {
      for (const engine of engines) {
        yield [part, engine];
      }
    }
  }
}
