/** Discrete-event scheduler: runs actions at their times on a virtual clock. */
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import { instant } from '@sesamegrade/core/types/units';
import { EventQueue } from '@sesamegrade/measure/placement/event-queue';

export class Schedule {
  readonly #queue = new EventQueue();
  #now = instant(0);

  get now(): Instant {
    return this.#now;
  }

  /**
   * Runs an action after a delay; actions for the same time run in order of the
   * calls.
   */
  after(delay: Milliseconds, action: () => void): void {
    this.#queue.add(this.#now + delay, action);
  }

  /**
   * Advances the clock to the given time and runs the actions scheduled up to
   * it.
   */
  runUntil(end: Instant): void {
    for (
      let next = this.#queue.nextAt;
      next !== undefined && next <= end;
      next = this.#queue.nextAt
    ) {
      this.#now = instant(next);
      this.#queue.take()?.run();
    }
    this.#now = end;
  }
}
