/** Bounded queue of messages for one subscribed peer. */
import type { FeedMessage } from './peer-message';

/** Maximum number of queued messages; above it, the oldest one is dropped. */
const MAX_QUEUED = 64;

export class PeerFeed {
  readonly #queue: FeedMessage[] = [];
  #wake: (() => void) | undefined;
  #closed = false;
  #dropped = 0;

  /** Number of messages that were dropped because the peer read too slowly. */
  get dropped(): number {
    return this.#dropped;
  }

  push(message: FeedMessage): void {
    this.#queue.push(message);
    if (this.#queue.length > MAX_QUEUED) {
      this.#queue.shift();
      this.#dropped += 1;
    }
    this.#wake?.();
  }

  close(): void {
    this.#closed = true;
    this.#wake?.();
  }

  /** Yields messages until the feed is closed or the signal is aborted. */
  async *read(signal: AbortSignal): AsyncGenerator<FeedMessage> {
    const close = () => {
      this.close();
    };
    signal.addEventListener('abort', close, { once: true });
    while (!this.#closed) {
      const next = this.#queue.shift();
      if (next) {
        yield next;
        continue;
      }
      await new Promise<void>(resolve => {
        this.#wake = resolve;
      });
    }
  }
}
