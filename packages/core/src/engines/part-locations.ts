/** Which engines are thought to hold which shared parts of prompts. */
import { LRUCache } from 'lru-cache';

import type { EndpointId, PromptPartId } from '../types/ids';

/** Parts remembered; the least recently used go first. */
const MAX_PARTS = 20_000;

const NOBODY: ReadonlyMap<EndpointId, PartState> = new Map();

/** Whether an engine still reads a part or holds it and can hand it over. */
export type PartState = 'reading' | 'held';

export class PartLocations {
  readonly #parts = new LRUCache<PromptPartId, Map<EndpointId, PartState>>({
    max: MAX_PARTS,
  });

  /** Returns true when that was not known; an engine that holds a part does not read it again. */
  add(part: PromptPartId, engine: EndpointId, state: PartState): boolean {
    const engines = this.#parts.get(part);
    if (!engines) {
      this.#parts.set(part, new Map([[engine, state]]));
      return true;
    }
    const known = engines.get(engine);
    if (known === state || known === 'held') {
      return false;
    }
    engines.set(engine, state);
    return true;
  }

  /** Whether the engine holds the part or will shortly. */
  isAt(part: PromptPartId, engine: EndpointId): boolean {
    return this.#parts.get(part)?.has(engine) ?? false;
  }

  /** Engines that hold or read the part. */
  engines(part: PromptPartId): ReadonlyMap<EndpointId, PartState> {
    return this.#parts.get(part) ?? NOBODY;
  }

  /** Forgets what an engine held that is gone or started anew. */
  removeEngine(engine: EndpointId): void {
    for (const engines of this.#parts.values()) {
      engines.delete(engine);
    }
  }

  /** Every known pair, for a peer that has just connected. */
  *pairs(): Generator<[PromptPartId, EndpointId, PartState]> {
    for (const [part, engines] of this.#parts.entries()) {
      for (const [engine, state] of engines) {
        yield [part, engine, state];
      }
    }
  }
}
