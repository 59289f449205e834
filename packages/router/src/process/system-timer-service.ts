import { TimerService } from '@sesamegrade/core/time/timer-service';
import { instant } from '@sesamegrade/core/types/units';
import type { Instant } from '@sesamegrade/core/types/units';

/** The process's monotonic clock; one timer of the event loop serves every subscriber. */
export class SystemTimerService extends TimerService {
  #timeout: NodeJS.Timeout | undefined;
  #scheduledFor: Instant | undefined;
  #stopped = false;

  now(): Instant {
    return instant(performance.now());
  }

  wallTime(): number {
    return Date.now();
  }

  /** Wakes nobody any more, so that the process can end. */
  override stop(): void {
    super.stop();
    this.#stopped = true;
    clearTimeout(this.#timeout);
  }

  protected reschedule(): void {
    const due = this.nextDue();
    if (this.#stopped || due === undefined) {
      return;
    }
    if (this.#scheduledFor !== undefined && this.#scheduledFor <= due) {
      return;
    }
    clearTimeout(this.#timeout);
    this.#scheduledFor = due;
    const delay = Math.max(0, due - this.now());
    this.#timeout = setTimeout(() => {
      this.#wake();
    }, delay);
  }

  #wake(): void {
    this.#scheduledFor = undefined;
    this.runDue(this.now());
    this.reschedule();
  }
}
