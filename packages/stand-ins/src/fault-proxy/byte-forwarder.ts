/** One direction of a proxied connection. */
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import type { ProxyFault } from './proxy-fault';

const STALL_POLL_MS = 5;
const MAX_HELD_BYTES = 1024 * 1024;

export type Direction = 'to-target' | 'to-client';

/** Copies the bytes of one socket to another, in order, under the fault at hand. */
export class ByteForwarder {
  readonly #source: Socket;
  readonly #sink: Socket;
  readonly #direction: Direction;
  readonly #fault: () => ProxyFault;
  #queue: Promise<void> = Promise.resolve();
  #relayedBytes = 0;
  #heldBytes = 0;

  constructor(
    source: Socket,
    sink: Socket,
    direction: Direction,
    fault: () => ProxyFault,
  ) {
    this.#source = source;
    this.#sink = sink;
    this.#direction = direction;
    this.#fault = fault;
  }

  start(): void {
    this.#source.on('data', (chunk: Buffer) => {
      const arrival = performance.now();
      this.#heldBytes += chunk.length;
      if (this.#heldBytes > MAX_HELD_BYTES) {
        this.#source.pause();
      }
      this.#enqueue(async () => {
        await this.#hold(arrival);
        await this.#deliver(chunk);
        this.#heldBytes -= chunk.length;
        this.#source.resume();
      });
    });
    this.#source.on('end', () => {
      const arrival = performance.now();
      this.#enqueue(async () => {
        await this.#hold(arrival);
        this.#sink.end();
      });
    });
  }

  #enqueue(step: () => Promise<void>): void {
    this.#queue = this.#queue.then(step).catch(() => {
      this.#sink.destroy();
    });
  }

  async #hold(arrival: number): Promise<void> {
    const left = arrival + this.#fault().delayMs - performance.now();
    if (left > 0) {
      await sleep(left);
    }
    while (this.#fault().stall && !this.#sink.destroyed) {
      await sleep(STALL_POLL_MS);
    }
  }

  async #deliver(chunk: Buffer): Promise<void> {
    const { drop, cutAfterBytes } = this.#fault();
    if (drop === this.#direction || this.#sink.destroyed) {
      return;
    }
    const limit =
      this.#direction === 'to-client' ? (cutAfterBytes ?? Infinity) : Infinity;
    const allowed = Math.max(0, limit - this.#relayedBytes);
    const part = chunk.length > allowed ? chunk.subarray(0, allowed) : chunk;
    this.#relayedBytes += part.length;
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
