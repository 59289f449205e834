/**
 * Memory for what endpoints have sent and callers have not got yet, shared by all requests of
 * the router, so that many large responses at once do not use up the memory of its VM.
 */

/** Bytes that a response may hold in any case. */
export const MIN_RESPONSE_BYTES = 65_536;

export class ResponseMemory {
  readonly #limit: number;
  #total = 0;

  /** `limit` is the number of bytes that all responses may hold together. */
  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Bytes held by all responses. */
  get total(): number {
    return this.#total;
  }

  /** Opens the account of one request's responses. */
  open(): HeldBytes {
    return new HeldBytes(change => {
      this.#total += change;
      return this.#total <= this.#limit;
    });
  }
}

/** What the responses of one request hold. */
export class HeldBytes {
  readonly #change: (by: number) => boolean;
  #bytes = 0;
  #isReleased = false;

  /** `change` returns whether all responses are within their limit after it. */
  constructor(change: (by: number) => boolean) {
    this.#change = change;
  }

  /** Records how many bytes are held; returns whether they may be. */
  set(bytes: number): boolean {
    if (this.#isReleased) {
      return true;
    }
    const isWithinTotal = this.#change(bytes - this.#bytes);
    this.#bytes = bytes;
    return isWithinTotal || bytes <= MIN_RESPONSE_BYTES;
  }

  /** Gives the memory back; what is recorded later no longer counts. */
  release(): void {
    this.set(0);
    this.#isReleased = true;
  }
}
