import { HELD_UP, TimerService } from '@sesamegrade/core/time/timer-service';
import { elapsed, instant } from '@sesamegrade/core/types/units';
import type { Instant } from '@sesamegrade/core/types/units';

/** The monotonic clock and the event loop of a process. */
export interface EventLoop {
  readonly now: () => number;
  readonly setTimeout: (
    callback: () => void,
    delay: number,
  ) => NodeJS.Timeout | undefined;
  /** Calls back once everything that has arrived on sockets was read. */
  readonly afterReads: (callback: () => void) => void;
}

const PROCESS_LOOP: EventLoop = {
  now: () => performance.now(),
  setTimeout: (callback, delay) => setTimeout(callback, delay),
  afterReads: callback => {
    // The first turn follows the next poll, which may only accept connections.
    setImmediate(() => setImmediate(callback));
  },
};

/**
 * Timer service on the process's monotonic clock; a single event-loop timer serves all
 * subscribers. After the event loop was held up, timers fire behind what arrived meanwhile,
 * so that no time limit ends what was answered in time.
 */
export class SystemTimerService extends TimerService {
  readonly #loop: EventLoop;
  #timeout: NodeJS.Timeout | undefined;
  #scheduledFor: Instant | undefined;
  /** When timers fired last and everything that had arrived by then was read afterwards. */
  #readUpTo: Instant;
  /** Late wake-ups whose time is not that yet. */
  #unreadWakes = 0;
  #isRunning = false;
  #stopped = false;

  constructor(loop: EventLoop = PROCESS_LOOP) {
    super();
    this.#loop = loop;
    this.#readUpTo = this.now();
  }

  now(): Instant {
    return instant(this.#loop.now());
  }

  override get heldUpSince(): Instant | undefined {
    return this.#unreadWakes > 0 ? this.#readUpTo : super.heldUpSince;
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

  protected onAdded(due: Instant): void {
    // The timers that are being run are followed by a look at all of them.
    if (!this.#isRunning) {
      this.#schedule(due);
    }
  }

  /** Wakes up at a due time, or earlier if that is scheduled already. */
  #schedule(due: Instant): void {
    const isCovered =
      this.#scheduledFor !== undefined && this.#scheduledFor <= due;
    if (this.#stopped || isCovered) {
      return;
    }
    clearTimeout(this.#timeout);
    this.#scheduledFor = due;
    const delay = Math.max(0, due - this.now());
    this.#timeout = this.#loop.setTimeout(() => {
      this.#wake(due);
    }, delay);
  }

  #wake(due: Instant): void {
    if (elapsed(due, this.now()) < HELD_UP) {
      this.#runAll();
      this.#readUpTo = this.now();
      return;
    }
    this.#unreadWakes += 1;
    this.#loop.afterReads(() => {
      this.#runAll();
      // The process may have been held up within the turn that fired them, and not have read since.
      const firedAt = this.now();
      this.#loop.afterReads(() => {
        this.#unreadWakes -= 1;
        this.#readUpTo = firedAt;
      });
    });
  }

  #runAll(): void {
    this.#scheduledFor = undefined;
    this.#isRunning = true;
    try {
      this.runDue(this.now());
    } finally {
      this.#isRunning = false;
      const due = this.nextDue();
      if (due !== undefined) {
        this.#schedule(due);
      }
    }
  }
}
