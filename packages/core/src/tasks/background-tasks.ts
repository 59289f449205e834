/**
 * Runs asynchronous work that no caller awaits. A failure is reported instead of
 * ending the process as an unhandled rejection.
 */

/** A task that threw or rejected. */
export interface TaskFailure {
  readonly task: string;
  readonly error: unknown;
}

export class BackgroundTasks {
  readonly #onFailure: (failure: TaskFailure) => void;

  constructor(onFailure: (failure: TaskFailure) => void) {
    this.#onFailure = onFailure;
  }

  /** Starts the work at once; `task` names it in the report of a failure. */
  run(task: string, work: () => Promise<unknown>): void {
    try {
      work().catch((error: unknown) => {
        this.#onFailure({ task, error });
      });
    } catch (error) {
      this.#onFailure({ task, error });
    }
  }
}
