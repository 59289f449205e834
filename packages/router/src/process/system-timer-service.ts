import { TimerService } from '@sesamegrade/core/time/timer-service';
import { instant } from '@sesamegrade/core/types/units';
import type { Instant } from '@sesamegrade/core/types/units';

/** Timer service on the process's monotonic clock; a single event-loop timer serves all subscribers. */
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

  /** Fires no more timers, so that the process can exit. */
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
