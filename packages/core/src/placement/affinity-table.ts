/** Session affinity: a bounded cache of the endpoint that last ran each chat. */
import { LRUCache } from 'lru-cache';

import type { ChatId, EndpointId } from '../types/ids';

/** Default number of chats cached by one router. */
export const DEFAULT_MAX_CHATS = 50_000;

/** Maximum length of a caller's hint in characters; longer ones are ignored. */
const MAX_HINT_LENGTH = 128;

/**
 * Retains the most recently used chats; an evicted chat costs a cache miss at
 * most. A hint that the caller echoes wins over the table, as it names the
 * endpoint of the latest response. It is used only if that endpoint is known.
 */
export class AffinityTable {
  readonly #endpoints: LRUCache<ChatId, EndpointId>;

  constructor(maxChats: number = DEFAULT_MAX_CHATS) {
    this.#endpoints = new LRUCache({ max: maxChats });
  }

  get size(): number {
    return this.#endpoints.size;
  }

  /** Returns the endpoint to prefer, from the caller's hint or else from the table. */
  resolve(
    chat: ChatId,
    hint: string | undefined,
    isKnown: (endpoint: EndpointId) => boolean,
  ): EndpointId | undefined {
    const hinted = hint as EndpointId | undefined;
    if (hinted && hinted.length <= MAX_HINT_LENGTH && isKnown(hinted)) {
      return hinted;
    }
    return this.#endpoints.get(chat);
  }

  record(chat: ChatId, endpoint: EndpointId): void {
    this.#endpoints.set(chat, endpoint);
  }

  /** Removes every chat of an endpoint that is gone, as its cache is gone, too. */
  removeEndpoint(endpoint: EndpointId): void {
    for (const [chat, affinity] of this.#endpoints.entries()) {
      if (affinity === endpoint) {
        this.#endpoints.delete(chat);
      }
    }
  }
}
