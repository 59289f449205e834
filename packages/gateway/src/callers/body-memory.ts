/**
 * Memory for request bodies that are not complete yet, shared by all callers of the router. When
 * it is used up, the bodies that have not grown for the longest time are given up.
 */

/** Bytes that the first fragment of a body reserves at least. */
const MIN_CAPACITY = 1024;

export class BodyMemory {
  readonly #limit: number;
  /** Bodies that are not complete, least recently grown first. */
  readonly #bodies = new Set<IncompleteBody>();
  #total = 0;

  /** `limit` is the number of bytes that incomplete bodies may hold together. */
  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Bytes held by all incomplete bodies. */
  get total(): number {
    return this.#total;
  }

  /** Opens the account of a body; `onGivenUp` is called if it loses its memory to other bodies. */
  open(onGivenUp: () => void): IncompleteBody {
    const body: IncompleteBody = new IncompleteBody(onGivenUp, change => {
      this.#bodies.delete(body);
      this.#total += change;
      if (body.capacity > 0) {
        this.#bodies.add(body);
        this.#makeRoom(body);
      }
    });
    return body;
  }

  /** A single body always has room, also if the limit of bodies is above that of the memory. */
  #makeRoom(growing: IncompleteBody): void {
    for (const body of this.#bodies) {
      if (this.#total <= this.#limit || body === growing) {
        return;
      }
      body.giveUp();
    }
  }
}

/** Collects the fragments of a body in one buffer, whatever their number. */
export class IncompleteBody {
  readonly #onGivenUp: () => void;
  readonly #onChange: (change: number) => void;
  #buffer: Buffer | undefined;
  #size = 0;

  /** `onChange` is told by how many bytes the capacity has changed. */
  constructor(onGivenUp: () => void, onChange: (change: number) => void) {
    this.#onGivenUp = onGivenUp;
    this.#onChange = onChange;
  }

  /** Bytes received so far. */
  get size(): number {
    return this.#size;
  }

  /** Bytes of memory that the body takes. */
  get capacity(): number {
    return this.#buffer?.length ?? 0;
  }

  /** Adds a fragment to a body of up to `maxLength` bytes. */
  append(fragment: Buffer, maxLength: number): void {
    const size = this.#size + fragment.length;
    const { capacity } = this;
    if (size > capacity) {
      const doubled = Math.min(maxLength, capacity * 2);
      this.#grow(Math.max(size, doubled, Math.min(maxLength, MIN_CAPACITY)));
    }
    if (this.#buffer) {
      fragment.copy(this.#buffer, this.#size);
      this.#size = size;
    }
  }

  /** Returns the body and gives its memory back to the account of incomplete ones. */
  take(): Buffer {
    const body = this.#buffer?.subarray(0, this.#size) ?? Buffer.alloc(0);
    const { capacity } = this;
    this.release();
    return body.length === capacity ? body : Buffer.from(body);
  }

  release(): void {
    const { capacity } = this;
    this.#buffer = undefined;
    this.#size = 0;
    if (capacity > 0) {
      this.#onChange(-capacity);
    }
  }

  /** Releases the memory, as other bodies need it. */
  giveUp(): void {
    this.release();
    this.#onGivenUp();
  }

  #grow(capacity: number): void {
    const previous = this.#buffer;
    this.#buffer = Buffer.allocUnsafeSlow(capacity);
    previous?.copy(this.#buffer, 0, 0, this.#size);
    this.#onChange(capacity - (previous?.length ?? 0));
  }
}
