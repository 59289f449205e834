/** LRU cache of chat contexts with a capacity in tokens. */
import { LRUCache } from 'lru-cache';

/** One message of a cached context. */
export interface CachedMessage {
  readonly hash: string;
  readonly tokens: number;
}

/** Called with a context that was evicted because the cache was full. */
export type EvictionListener = (prefix: string, tokens: number) => void;

function totalTokens(messages: readonly CachedMessage[]): number {
  return messages.reduce((sum, message) => sum + message.tokens, 0);
}

export class PrefixCache {
  readonly #contexts: LRUCache<string, readonly CachedMessage[]>;

  /** @param capacity maximum number of cached tokens */
  constructor(capacity: number, onEviction: EvictionListener) {
    this.#contexts = new LRUCache<string, readonly CachedMessage[]>({
      maxSize: capacity,
      sizeCalculation: messages => Math.max(1, totalTokens(messages)),
      dispose: (messages, prefix, reason) => {
        if (reason === 'evict') {
          onEviction(prefix, totalTokens(messages));
        }
      },
    });
  }

  /** Number of cached tokens. */
  get tokens(): number {
    return this.#contexts.calculatedSize;
  }

  /** Returns how many tokens of a prompt are cached, and marks the context as used. */
  cachedTokens(prefix: string, prompt: readonly CachedMessage[]): number {
    const context = this.#contexts.get(prefix) ?? [];
    let tokens = 0;
    for (const [index, message] of prompt.entries()) {
      if (context[index]?.hash !== message.hash) {
        break;
      }
      tokens += message.tokens;
    }
    return tokens;
  }

  /**
   * Stores a context and returns its tokens; a context larger than the capacity
   * is not stored.
   */
  store(prefix: string, messages: readonly CachedMessage[]): number {
    this.#contexts.set(prefix, messages);
    return totalTokens(messages);
  }

  /** Returns a context for export without marking it as used. */
  peek(prefix: string): readonly CachedMessage[] | undefined {
    return this.#contexts.peek(prefix);
  }

  clear(): void {
    this.#contexts.clear();
  }
}
