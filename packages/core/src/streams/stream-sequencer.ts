/** Order of one streamed answer over broken connections. */

/** What to do with an event that arrived. */
export type EventDisposition = 'deliver' | 'duplicate' | 'gap';

/**
 * Follows the numbers of a stream's events, which start at 1 and rise by 1.
 * An event of an abandoned connection or a repeated one is not delivered, and a
 * missing one is noticed before anything after it is.
 */
export class StreamSequencer {
  #last: number;
  #ended = false;

  constructor(after = 0) {
    this.#last = after;
  }

  /** Number of the last event that was delivered. */
  get lastDelivered(): number {
    return this.#last;
  }

  /** Whether the end mark was delivered. */
  get hasEnded(): boolean {
    return this.#ended;
  }

  accept(event: number, isEnd: boolean): EventDisposition {
    if (!Number.isSafeInteger(event) || event > this.#last + 1) {
      return 'gap';
    }
    if (event <= this.#last || this.#ended) {
      return 'duplicate';
    }
    this.#last = event;
    this.#ended = isEnd;
    return 'deliver';
  }
}
