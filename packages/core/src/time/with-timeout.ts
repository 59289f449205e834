/** Bounds the time for which a result is waited for. */
import type { Milliseconds } from '../types/units';
import type { TimerService } from './timer-service';

/** Resolves with undefined if the promise rejects or takes longer. */
export function withTimeout<Value>(
  promise: Promise<Value>,
  timers: TimerService,
  timeout: Milliseconds,
): Promise<Value | undefined> {
  return new Promise(resolve => {
    const cancel = timers.after(timeout, () => {
      resolve(undefined);
    });
    promise.then(
      value => {
        cancel();
        resolve(value);
      },
      () => {
        cancel();
        resolve(undefined);
      },
    );
  });
}
