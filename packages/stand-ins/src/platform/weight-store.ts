/** Weight store that serves a limited number of loads concurrently. */
import { setTimeout as sleep } from 'node:timers/promises';

export class WeightStore {
  slots: number;
  loadMs: number;
  #loading = 0;

  constructor(slots: number, loadMs: number) {
    this.slots = slots;
    this.loadMs = loadMs;
  }

  get loading(): number {
    return this.#loading;
  }

  /** Resolves to true once loaded, or immediately to false if no slot is free. */
  async load(): Promise<boolean> {
    if (this.#loading >= this.slots) {
      return false;
    }
    this.#loading += 1;
    try {
      await sleep(this.loadMs);
      return true;
    } finally {
      this.#loading -= 1;
    }
  }
}
