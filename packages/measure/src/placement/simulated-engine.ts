/** Simulates an engine that counts its running requests and caches the most recently used contexts. */
import { LRUCache } from 'lru-cache';

import type { ChatId, EndpointId, ZoneId } from '@sesamegrade/core/types/ids';

/** Load of an engine from a time on. */
interface LoadSample {
  readonly at: number;
  readonly load: number;
}

/** Samples older than this are not read. */
const MAX_SAMPLE_AGE_SECONDS = 10;
const TRIM_BATCH_SIZE = 256;

export class SimulatedEngine {
  readonly id: EndpointId;
  readonly zone: ZoneId;
  readonly capacity: number;
  readonly joinedAt: number;
  readonly #contexts: LRUCache<ChatId, true>;
  readonly #samples: LoadSample[] = [];
  #running = 0;
  #isAlive = true;

  constructor(
    id: EndpointId,
    zone: ZoneId,
    capacity: number,
    maxContexts: number,
    joinedAt: number,
  ) {
    this.id = id;
    this.zone = zone;
    this.capacity = capacity;
    this.joinedAt = joinedAt;
    this.#contexts = new LRUCache({ max: maxContexts });
  }

  get running(): number {
    return this.#running;
  }

  get isAlive(): boolean {
    return this.#isAlive;
  }

  /** Marks the engine as stopped; a rejoining engine is a new object with an empty cache. */
  stop(): void {
    this.#isAlive = false;
  }

  /** Starts a request. Returns whether the chat's context was cached, or undefined if the engine is full. */
  start(chat: ChatId, now: number): boolean | undefined {
    if (this.#running >= this.capacity) {
      return undefined;
    }
    this.#changeLoad(1, now);
    const reused = this.#contexts.get(chat) === true;
    this.#contexts.set(chat, true);
    return reused;
  }

  finish(now: number): void {
    this.#changeLoad(-1, now);
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

  #changeLoad(by: number, now: number): void {
    this.#running += by;
    this.#samples.push({ at: now, load: this.#running });
    const old = this.#samples[TRIM_BATCH_SIZE];
    if (old && old.at < now - MAX_SAMPLE_AGE_SECONDS) {
      this.#samples.splice(0, TRIM_BATCH_SIZE);
    }
  }
}
