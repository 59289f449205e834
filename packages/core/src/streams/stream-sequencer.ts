/** Event order of one streamed response over several connections. */

/** How to handle a received event. */
export type EventDisposition = 'deliver' | 'duplicate' | 'gap';

/**
 * Tracks the numbers of a stream's events, which start at 1 and increase by 1.
 * An event that was delivered before, for example over an abandoned connection,
 * is a duplicate. A missing event is detected before a later one is delivered.
 */
export class StreamSequencer {
  #lastDelivered: number;
  #hasEnded = false;

  constructor(after = 0) {
    this.#lastDelivered = after;
  }

  /** Number of the last event that was delivered. */
  get lastDelivered(): number {
    return this.#lastDelivered;
  }

  /** Whether the end marker was delivered. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  accept(event: number, isEnd: boolean): EventDisposition {
    if (!Number.isSafeInteger(event) || event > this.#lastDelivered + 1) {
      return 'gap';
    }
    if (event <= this.#lastDelivered || this.#hasEnded) {
      return 'duplicate';
    }
    this.#lastDelivered = event;
    this.#hasEnded = isEnd;
    return 'deliver';
  }
}
