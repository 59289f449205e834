/** One process that may be stopped for a while or killed. */
import type { Random } from '@sesamegrade/core/random/random';

export type ProcessState = 'running' | 'paused' | 'dead';

export class Process {
  readonly #random: Random;
  #state: ProcessState = 'running';
  #waiting: (() => void)[] = [];

  constructor(random: Random) {
    this.#random = random;
  }

  get state(): ProcessState {
    return this.#state;
  }

  /** Runs an action in the process: now, after it resumes, or never. */
  run(action: () => void): void {
    if (this.#state === 'running') {
      action();
    } else if (this.#state === 'paused') {
      this.#waiting.push(action);
    }
  }

  pause(): void {
    if (this.#state === 'running') {
      this.#state = 'paused';
    }
  }

  /** Runs what came meanwhile, in an order that no one can count on. */
  resume(): void {
    if (this.#state !== 'paused') {
      return;
    }
    this.#state = 'running';
    const waiting = this.#waiting;
    this.#waiting = [];
    while (waiting.length > 0) {
      const [action] = waiting.splice(
        this.#random.integer(0, waiting.length - 1),
        1,
      );
      if (action) {
        this.run(action);
      }
    }
  }

  kill(): void {
    this.#state = 'dead';
    this.#waiting = [];
  }
}
