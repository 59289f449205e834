/** Fetches weights from the platform's weight store, waiting for a slot. */
import { setTimeout as sleep } from 'node:timers/promises';

import { request } from 'undici';

const DEFAULT_RETRY_MS = 200;
const MS_PER_SECOND = 1000;

export class WeightLoader {
  readonly #platform: string | undefined;

  /** @param platform base URL; without one every load succeeds at once */
  constructor(platform: string | undefined) {
    this.#platform = platform;
  }

  /** Resolves to true when loaded and to false when told to give up. */
  async load(weights: string, wanted: () => boolean): Promise<boolean> {
    if (this.#platform === undefined) {
      return true;
    }
    const url = `${this.#platform}/weights/${encodeURIComponent(weights)}`;
    while (wanted()) {
      const retryMs = await this.#attempt(url);
      if (retryMs === undefined) {
        return wanted();
      }
      await sleep(retryMs);
    }
    return false;
  }

  /** Returns how long to wait before the next attempt, if one is needed. */
  async #attempt(url: string): Promise<number | undefined> {
    try {
      const answer = await request(url, { method: 'POST' });
      await answer.body.dump();
      if (answer.statusCode === 200) {
        return undefined;
      }
      const seconds = Number(answer.headers['retry-after']);
      return seconds > 0 ? seconds * MS_PER_SECOND : DEFAULT_RETRY_MS;
    } catch {
      return DEFAULT_RETRY_MS;
    }
  }
}
