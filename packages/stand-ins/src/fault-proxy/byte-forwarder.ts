/** Forwards one direction of a proxied connection. */
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { isStalled } from './proxy-fault';
import type { Direction, ProxyFault } from './proxy-fault';

const STALL_POLL_MS = 5;
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Copies the bytes of one socket to another, in order, and applies the current fault. */
export class ByteForwarder {
  readonly #source: Socket;
  readonly #sink: Socket;
  readonly #direction: Direction;
  readonly #currentFault: () => ProxyFault;
  #queue: Promise<void> = Promise.resolve();
  #forwardedBytes = 0;
  #bufferedBytes = 0;

  constructor(
    source: Socket,
    sink: Socket,
    direction: Direction,
    currentFault: () => ProxyFault,
  ) {
    this.#source = source;
    this.#sink = sink;
    this.#direction = direction;
    this.#currentFault = currentFault;
  }

  start(): void {
    this.#source.on('data', (chunk: Buffer) => {
      const arrivedAt = performance.now();
      this.#bufferedBytes += chunk.length;
      if (this.#bufferedBytes > MAX_BUFFERED_BYTES) {
        this.#source.pause();
      }
      this.#enqueue(async () => {
        await this.#waitForFault(arrivedAt);
        await this.#deliver(chunk);
        this.#bufferedBytes -= chunk.length;
        this.#source.resume();
      });
    });
    this.#source.on('end', () => {
      const arrivedAt = performance.now();
      this.#enqueue(async () => {
        await this.#waitForFault(arrivedAt);
        this.#sink.end();
      });
    });
  }

  #enqueue(step: () => Promise<void>): void {
    this.#queue = this.#queue.then(step).catch(() => {
      this.#sink.destroy();
    });
  }

  /** Waits for the delay of the fault, and until no stall is set. */
  async #waitForFault(arrivedAt: number): Promise<void> {
    const remainingMs =
      arrivedAt + this.#currentFault().delayMs - performance.now();
    if (remainingMs > 0) {
      await sleep(remainingMs);
    }
    while (
      isStalled(this.#currentFault(), this.#direction) &&
      !this.#sink.destroyed
    ) {
      await sleep(STALL_POLL_MS);
    }
  }

  async #deliver(chunk: Buffer): Promise<void> {
    const { drop, cutAfterBytes } = this.#currentFault();
    if (drop === this.#direction || this.#sink.destroyed) {
      return;
    }
    const limit =
      this.#direction === 'to-client' ? (cutAfterBytes ?? Infinity) : Infinity;
    const allowed = Math.max(0, limit - this.#forwardedBytes);
    const part = chunk.length > allowed ? chunk.subarray(0, allowed) : chunk;
    this.#forwardedBytes += part.length;
    await this.#write(part);
    if (part.length < chunk.length) {
      this.#sink.resetAndDestroy();
      this.#source.resetAndDestroy();
    }
  }

  #write(part: Buffer): Promise<void> {
    return new Promise(resolve => {
      this.#sink.write(part, () => {
        resolve();
      });
    });
  }
}
