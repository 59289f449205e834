/**
 * Memory for request bodies, shared by all callers of the router. A body counts from its first
 * byte, or from the reservation of its length, until no attempt needs it any more.
 */
import { RequestBody } from './request-body';
import type { ReleaseOrder } from './request-body';

/** Bytes that the first fragment of a body reserves at least. */
const MIN_CAPACITY = 1024;

export interface BodyMemoryLimits {
  /** Bytes that all bodies may hold together. */
  readonly total: number;
  /**
   * Bytes that incomplete bodies may hold together: those with a reservation, and those that grow
   * without one.
   */
  readonly incomplete: number;
}

/** A body that waits until its length can be reserved. */
interface WaitingBody {
  readonly body: IncompleteBody;
  readonly length: number;
  /** Number of growths of all bodies before it began to wait. */
  readonly since: number;
  readonly grant: () => void;
}

export class BodyMemory {
  readonly #limits: BodyMemoryLimits;
  /** Bodies that grow without a reservation, least recently grown first. */
  readonly #growing = new Map<IncompleteBody, number>();
  #growingBytes = 0;
  /** Bodies with a reservation, and the count of growths at their latest one. */
  readonly #reserved = new Map<IncompleteBody, number>();
  #reservedBytes = 0;
  readonly #waiting = new Set<WaitingBody>();
  #isGranting = false;
  #completeBytes = 0;
  /** Complete bodies that are kept only for attempts that may not come about. */
  readonly #releasable = new Map<RequestBody, ReleaseOrder>();
  #growths = 0;

  constructor(limits: BodyMemoryLimits) {
    this.#limits = limits;
  }

  /** Bytes held by all bodies. */
  get total(): number {
    return this.#growingBytes + this.#reservedBytes + this.#completeBytes;
  }

  /** Opens the account of a body; `onGivenUp` is called if it loses its memory to other bodies. */
  open(onGivenUp: () => void): IncompleteBody {
    return new IncompleteBody(this, onGivenUp);
  }

  /**
   * Reserves the announced or largest length of a body. Returns true if there is room now;
   * otherwise `grant` is called once there is, unless the wait ends before.
   */
  reserve(body: IncompleteBody, length: number, grant: () => void): boolean {
    if (this.#waiting.size === 0 && this.#tryReserve(body, length)) {
      return true;
    }
    this.#waiting.add({ body, length, since: this.#growths, grant });
    return false;
  }

  /**
   * Ends the wait of a body. Reserved bodies that have not grown since it began are given up for
   * it; returns false if that was not enough.
   */
  stopWaiting(body: IncompleteBody): boolean {
    const waiting = [...this.#waiting].find(entry => entry.body === body);
    if (!waiting) {
      return false;
    }
    for (const [stalled, grownAt] of this.#reserved) {
      if (grownAt <= waiting.since && this.#waiting.has(waiting)) {
        stalled.giveUp();
      }
    }
    return !this.#waiting.delete(waiting);
  }

  /** Records that a reserved body has grown. */
  recordProgress(body: IncompleteBody): void {
    if (this.#reserved.has(body)) {
      this.#growths += 1;
      this.#reserved.set(body, this.#growths);
    }
  }

  /** Records the capacity of a body that grows without a reservation, and makes room for it. */
  grow(body: IncompleteBody, capacity: number): void {
    this.#growingBytes += capacity - (this.#growing.get(body) ?? 0);
    this.#growing.delete(body);
    this.#growing.set(body, capacity);
    for (const stalled of this.#growing.keys()) {
      // A single body may exceed the share, as the limit of bodies may be above it.
      if (stalled === body) {
        break;
      }
      if (this.#growingBytes <= this.#limits.incomplete && this.#makeRoom(0)) {
        return;
      }
      stalled.giveUp();
    }
    if (!this.#makeRoom(0) && this.total > capacity) {
      body.giveUp();
    }
  }

  /** Closes the account of an incomplete body. */
  close(body: IncompleteBody): void {
    for (const waiting of this.#waiting) {
      if (waiting.body === body) {
        this.#waiting.delete(waiting);
      }
    }
    this.#growingBytes -= this.#growing.get(body) ?? 0;
    this.#growing.delete(body);
    if (this.#reserved.delete(body)) {
      this.#reservedBytes -= body.reservation;
    }
    this.#grantWaiting();
  }

  /** Opens the account of a complete body, which replaces that of the incomplete one. */
  keep(bytes: Buffer): RequestBody {
    // A small fragment may be a part of a larger buffer, which it keeps alive.
    const size = bytes.length === 0 ? 0 : bytes.buffer.byteLength;
    this.#completeBytes += size;
    return new RequestBody(bytes, {
      onReleasable: (body, order) => {
        this.#releasable.set(body, order);
        this.#grantWaiting();
      },
      onNeeded: body => {
        this.#releasable.delete(body);
      },
      onReleased: body => {
        this.#releasable.delete(body);
        this.#completeBytes -= size;
        this.#grantWaiting();
      },
    });
  }

  #grantWaiting(): void {
    // A release that makes room for a waiting body must not grant it a second time.
    if (this.#isGranting) {
      return;
    }
    this.#isGranting = true;
    for (const waiting of this.#waiting) {
      if (!this.#tryReserve(waiting.body, waiting.length)) {
        break;
      }
      this.#waiting.delete(waiting);
      waiting.grant();
    }
    this.#isGranting = false;
  }

  #tryReserve(body: IncompleteBody, length: number): boolean {
    const isWithinShare =
      this.#reservedBytes + length <= this.#limits.incomplete ||
      this.#reserved.size === 0;
    if (!isWithinShare || !(this.#makeRoom(length) || this.total === 0)) {
      return false;
    }
    this.#growths += 1;
    // The reservation covers what the body has got so far.
    this.#growingBytes -= this.#growing.get(body) ?? 0;
    this.#growing.delete(body);
    this.#reservedBytes += length;
    this.#reserved.set(body, this.#growths);
    body.onReserved(length);
    return true;
  }

  /** Releases complete bodies until there is room for more bytes; returns false if there is none. */
  #makeRoom(bytes: number): boolean {
    while (this.total + bytes > this.#limits.total) {
      const body = this.#nextToRelease();
      if (!body) {
        return false;
      }
      body.release();
    }
    return true;
  }

  /** Those that only a retry of what provably did not run needs go first, then the largest. */
  #nextToRelease(): RequestBody | undefined {
    let next: RequestBody | undefined;
    let nextOrder: ReleaseOrder | undefined;
    for (const [body, order] of this.#releasable) {
      const isSooner =
        next === undefined ||
        (order === nextOrder
          ? body.length > next.length
          : order === 'unlikely-retry');
      if (isSooner) {
        next = body;
        nextOrder = order;
      }
    }
    return next;
  }
}

/** Collects the fragments of a body in one buffer, whatever their number. */
export class IncompleteBody {
  readonly #memory: BodyMemory;
  readonly #onGivenUp: () => void;
  #buffer: Buffer | undefined;
  #size = 0;
  #reservation = 0;

  constructor(memory: BodyMemory, onGivenUp: () => void) {
    this.#memory = memory;
    this.#onGivenUp = onGivenUp;
  }

  /** Bytes received so far. */
  get size(): number {
    return this.#size;
  }

  /** Bytes that are reserved for the whole body; 0 without a reservation. */
  get reservation(): number {
    return this.#reservation;
  }

  onReserved(length: number): void {
    this.#reservation = length;
  }

  /** Adds a fragment to a body of up to `maxLength` bytes. */
  append(fragment: Buffer, maxLength: number): void {
    const size = this.#size + fragment.length;
    const capacity = this.#buffer?.length ?? 0;
    if (size > capacity) {
      const doubled = Math.min(maxLength, capacity * 2);
      this.#grow(
        Math.max(
          size,
          doubled,
          Math.min(maxLength, MIN_CAPACITY),
          this.#reservation,
        ),
      );
    }
    if (this.#buffer) {
      fragment.copy(this.#buffer, this.#size);
      this.#size = size;
      this.#memory.recordProgress(this);
    }
  }

  /** Returns the complete body, which counts until it is released. */
  take(): RequestBody {
    const body = this.#buffer?.subarray(0, this.#size) ?? Buffer.alloc(0);
    const isExact = body.length === this.#buffer?.length;
    return this.#replaceBy(isExact ? body : Buffer.from(body));
  }

  /** Like `take`, for a body that has arrived in one fragment. */
  takeWhole(fragment: Buffer): RequestBody {
    return this.#replaceBy(fragment);
  }

  release(): void {
    this.#buffer = undefined;
    this.#size = 0;
    this.#memory.close(this);
    this.#reservation = 0;
  }

  /** Releases the memory, as other bodies need it. */
  giveUp(): void {
    this.release();
    this.#onGivenUp();
  }

  #replaceBy(bytes: Buffer): RequestBody {
    // The new account begins before the memory of the old one could be granted to others.
    const body = this.#memory.keep(bytes);
    this.release();
    return body;
  }

  #grow(capacity: number): void {
    const previous = this.#buffer;
    this.#buffer = Buffer.allocUnsafeSlow(capacity);
    previous?.copy(this.#buffer, 0, 0, this.#size);
    if (this.#reservation === 0) {
      this.#memory.grow(this, capacity);
    }
  }
}
