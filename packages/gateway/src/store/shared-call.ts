/** Lets requests that come at about the same time share one call that begins after all of them. */
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { Milliseconds } from '@sesamegrade/core/types/units';

export interface SharedCallOptions<Value> {
  /** Name for logs. */
  readonly name: string;
  /** Time in which further requests join the first one. */
  readonly delay: Milliseconds;
  readonly call: () => Promise<Value>;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
}

export class SharedCall<Value> {
  readonly #options: SharedCallOptions<Value>;
  #next: Promise<Value | undefined> | undefined;

  constructor(options: SharedCallOptions<Value>) {
    this.#options = options;
  }

  /** Resolves with the result of a call that begins after this one; undefined if it throws. */
  run(): Promise<Value | undefined> {
    this.#next ??= new Promise(resolve => {
      this.#options.timers.after(this.#options.delay, () => {
        this.#next = undefined;
        this.#start(resolve);
      });
    });
    return this.#next;
  }

  #start(resolve: (value: Value | undefined) => void): void {
    const { name, call, backgroundTasks } = this.#options;
    backgroundTasks.run(name, async () => {
      let value: Value | undefined;
      try {
        value = await call();
      } finally {
        resolve(value);
      }
    });
  }
}
