/** Loads weights from the platform's weight store, and retries until a slot is free. */
import { setTimeout as sleep } from 'node:timers/promises';

import { request } from 'undici';

const DEFAULT_RETRY_MS = 200;
const MS_PER_SECOND = 1000;

export class WeightLoader {
  readonly #platform: string | undefined;

  /** @param platform base URL; without it, every load succeeds immediately */
  constructor(platform: string | undefined) {
    this.#platform = platform;
  }

  /** Resolves to true once loaded, or to false when `isWanted` returns false. */
  async load(weights: string, isWanted: () => boolean): Promise<boolean> {
    if (this.#platform === undefined) {
      return true;
    }
    const url = `${this.#platform}/weights/${encodeURIComponent(weights)}`;
    while (isWanted()) {
      const retryMs = await this.#attempt(url);
      if (retryMs === undefined) {
        return isWanted();
      }
      await sleep(retryMs);
    }
    return false;
  }

  /** Returns the delay before the next attempt in milliseconds; undefined when loaded. */
  async #attempt(url: string): Promise<number | undefined> {
    try {
      const response = await request(url, { method: 'POST' });
      await response.body.dump();
      if (response.statusCode === 200) {
        return undefined;
      }
      const retryAfterSeconds = Number(response.headers['retry-after']);
      return retryAfterSeconds > 0
        ? retryAfterSeconds * MS_PER_SECOND
        : DEFAULT_RETRY_MS;
    } catch {
      return DEFAULT_RETRY_MS;
    }
  }
}
