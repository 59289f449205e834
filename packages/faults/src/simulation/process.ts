/** A simulated router process that can be paused, resumed and killed. */
import type { Random } from '@sesamegrade/core/random/random';

export type ProcessState = 'running' | 'paused' | 'dead';

export class Process {
  readonly #random: Random;
  #state: ProcessState = 'running';
  #deferred: (() => void)[] = [];

  constructor(random: Random) {
    this.#random = random;
  }

  get state(): ProcessState {
    return this.#state;
  }

  /** Runs an action now, after the process resumes, or never if it is dead. */
  run(action: () => void): void {
    if (this.#state === 'running') {
      action();
    } else if (this.#state === 'paused') {
      this.#deferred.push(action);
    }
  }

  pause(): void {
    if (this.#state === 'running') {
      this.#state = 'paused';
    }
  }

  /**
   * Runs the actions that arrived during the pause, in random order: no order
   * is guaranteed.
   */
  resume(): void {
    if (this.#state !== 'paused') {
      return;
    }
    this.#state = 'running';
    const deferred = this.#deferred;
    this.#deferred = [];
    while (deferred.length > 0) {
      const [action] = deferred.splice(
        this.#random.integer(0, deferred.length - 1),
        1,
      );
      if (action) {
        this.run(action);
      }
    }
  }

  kill(): void {
    this.#state = 'dead';
    this.#deferred = [];
  }
}
