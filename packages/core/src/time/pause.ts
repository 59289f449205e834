import type { Milliseconds } from '../types/units';
import type { TimerService } from './timer-service';

/** Resolves after a time. */
export function pause(
  timers: TimerService,
  length: Milliseconds,
): Promise<void> {
  return new Promise(resolve => {
    timers.after(length, () => {
      resolve();
    });
  });
}
