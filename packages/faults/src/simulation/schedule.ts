/** Runs actions in order of their due time, on a clock of its own. */
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import { instant } from '@sesamegrade/core/types/units';
import { EventQueue } from '@sesamegrade/measure/placement/event-queue';

export class Schedule {
  readonly #queue = new EventQueue();
  #now = instant(0);

  get now(): Instant {
    return this.#now;
  }

  /** Runs an action after a delay; equal due times keep the order of calls. */
  after(delay: Milliseconds, action: () => void): void {
    this.#queue.add(this.#now + delay, action);
  }

  /** Runs everything that is due until the given time. */
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
