/** Messages on their way to one peer that has subscribed to them. */
import type { FeedMessage } from './peer-message';

/** Messages that wait for the socket at most; the oldest is dropped above. */
const MAX_WAITING = 64;

export class PeerFeed {
  readonly #waiting: FeedMessage[] = [];
  #wake: (() => void) | undefined;
  #closed = false;
  #dropped = 0;

  /** Messages that were dropped because the peer did not keep up. */
  get dropped(): number {
    return this.#dropped;
  }

  push(message: FeedMessage): void {
    this.#waiting.push(message);
    if (this.#waiting.length > MAX_WAITING) {
      this.#waiting.shift();
      this.#dropped += 1;
    }
    this.#wake?.();
  }

  close(): void {
    this.#closed = true;
    this.#wake?.();
  }

  /** Yields messages until the feed is closed or the signal is given. */
  async *read(signal: AbortSignal): AsyncGenerator<FeedMessage> {
    const close = () => {
      this.close();
    };
    signal.addEventListener('abort', close, { once: true });
    while (!this.#closed) {
      const next = this.#waiting.shift();
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
