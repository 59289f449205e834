/** Where a program writes its log lines. No line is waited for, and none ends the program. */
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { withTimeout } from '@sesamegrade/core/time/with-timeout';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';

/** Bytes of lines that are kept for a reader which does not take them; later lines are dropped. */
export const MAX_BUFFERED_BYTES = 262_144;
/** Time in which what is buffered is still written when the program ends. */
const CLOSE_TIMEOUT: Milliseconds = milliseconds(200);

export abstract class LogOutput {
  #dropped = 0;

  /** Lines that were not written since the start: above the buffer's size, or as writes failed. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Writes a line, with its line end, or drops it. */
  abstract write(line: string): void;

  /** Waits for a bounded time until what is buffered is written, and keeps the program no longer. */
  async close(timers: TimerService): Promise<void> {
    await withTimeout(this.flush(), timers, CLOSE_TIMEOUT);
    this.release();
  }

  protected countDropped(): void {
    this.#dropped += 1;
  }

  /** Resolves once what is buffered has been written or has failed. */
  protected abstract flush(): Promise<void>;

  /** Lets the program end while lines are buffered; a write to a file that has begun cannot be left. */
  protected release(): void {
    return;
  }
}
