/** A fake engine: counts what it runs and keeps the contexts used last. */
import { LRUCache } from 'lru-cache';

import type { ChatId, EndpointId, ZoneId } from '@sesamegrade/core/types/ids';

/** Load of an engine since a time. */
interface LoadSample {
  readonly at: number;
  readonly load: number;
}

/** Samples older than this are not asked for, in seconds. */
const sampleSeconds = 10;
const trimBatch = 256;

export class SimulatedEngine {
  readonly id: EndpointId;
  readonly zone: ZoneId;
  readonly capacity: number;
  readonly joinedAt: number;
  readonly #contexts: LRUCache<ChatId, true>;
  readonly #samples: LoadSample[] = [];
  #running = 0;
  #alive = true;

  constructor(
    id: EndpointId,
    zone: ZoneId,
    capacity: number,
    keptContexts: number,
    joinedAt: number,
  ) {
    this.id = id;
    this.zone = zone;
    this.capacity = capacity;
    this.joinedAt = joinedAt;
    this.#contexts = new LRUCache({ max: keptContexts });
  }

  get running(): number {
    return this.#running;
  }

  get isAlive(): boolean {
    return this.#alive;
  }

  /** Stops the engine; its contexts are lost. */
  stop(): void {
    this.#alive = false;
  }

  /** Starts a request; returns whether the chat's context was there, or undefined when full. */
  start(chat: ChatId, now: number): boolean | undefined {
    if (this.#running >= this.capacity) {
      return undefined;
    }
    this.#change(1, now);
    const reused = this.#contexts.get(chat) === true;
    this.#contexts.set(chat, true);
    return reused;
  }

  finish(now: number): void {
    this.#change(-1, now);
  }

  /** Returns the load that the engine had at a time. */
  loadAt(at: number): number {
    for (let index = this.#samples.length - 1; index >= 0; index -= 1) {
      const sample = this.#samples[index];
      if (sample && sample.at <= at) {
        return sample.load;
      }
    }
    return 0;
  }

  #change(by: number, now: number): void {
    this.#running += by;
    this.#samples.push({ at: now, load: this.#running });
    const old = this.#samples[trimBatch];
    if (old && old.at < now - sampleSeconds) {
      this.#samples.splice(0, trimBatch);
    }
  }
}
