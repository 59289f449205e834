/** Memory of the endpoint that last ran each chat, bounded and replaceable. */
import { LRUCache } from 'lru-cache';

import type { ChatId, EndpointId } from '../types/ids';

/** Default number of chats kept by one router. */
export const DEFAULT_MAX_CHATS = 50_000;

/** Longest caller's hint that is looked at, in characters. */
const maxHintLength = 128;

/**
 * Keeps the most recently used chats. What is lost costs a cache miss at most.
 * A caller's echoed hint wins over the memory, as it names the latest answer;
 * it is believed only when it names a known endpoint.
 */
export class AffinityTable {
  readonly #places: LRUCache<ChatId, EndpointId>;

  constructor(kept: number = DEFAULT_MAX_CHATS) {
    this.#places = new LRUCache({ max: kept });
  }

  get size(): number {
    return this.#places.size;
  }

  /** Returns the place to prefer, from the caller's hint or from memory. */
  resolve(
    chat: ChatId,
    hint: string | undefined,
    known: (endpoint: EndpointId) => boolean,
  ): EndpointId | undefined {
    const hinted = hint as EndpointId | undefined;
    if (hinted && hinted.length <= maxHintLength && known(hinted)) {
      return hinted;
    }
    return this.#places.get(chat);
  }

  record(chat: ChatId, endpoint: EndpointId): void {
    this.#places.set(chat, endpoint);
  }

  /** Drops every chat of an endpoint that is gone with its cache. */
  removeEndpoint(endpoint: EndpointId): void {
    for (const [chat, place] of this.#places.entries()) {
      if (place === endpoint) {
        this.#places.delete(chat);
      }
    }
  }
}
