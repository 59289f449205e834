import { addTime, instant } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { TimerService } from './timer-service';

/** A clock that moves only on `advance`, for tests and measurements. */
export class ManualTimerService extends TimerService {
  #now: Instant;
  #wallOffset: number;

  constructor(start: Instant = instant(0), wallOffset = 0) {
    super();
    this.#now = start;
    this.#wallOffset = wallOffset;
  }

  now(): Instant {
    return this.#now;
  }

  wallTime(): number {
    return this.#wallOffset + this.#now;
  }

  /** Moves the wall clock without moving the monotonic clock. */
  jumpWallTime(by: Milliseconds): void {
    this.#wallOffset += by;
  }

  /** Moves time forward and calls each due listener at its own due time. */
  advance(by: Milliseconds): void {
    const end = addTime(this.#now, by);
    for (
      let due = this.nextDue();
      due !== undefined && due <= end;
      due = this.nextDue()
    ) {
      this.#now = due > this.#now ? due : this.#now;
      this.runDue(this.#now);
    }
    this.#now = end;
  }

  protected onAdded(): void {
    // No real timer is set: `advance` finds the due listeners itself.
  }
}
