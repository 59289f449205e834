/** Log of every sequence that an engine ran, which is retained when the engine crashes. */
import type { AttemptId } from '@sesamegrade/core/types/ids';

const MAX_RUNS = 500_000;

export interface EngineRun {
  readonly attempt: AttemptId;
  readonly contentHash: string;
  readonly chat: string;
  readonly incarnation: number;
  /** Milliseconds since the Unix epoch. */
  readonly startedAt: number;
  readonly endedAt?: number;
  readonly end?: 'finished' | 'cancelled' | 'crashed';
}

export class RunLog {
  readonly #runs: EngineRun[] = [];
  readonly #openRuns = new Map<AttemptId, number>();

  begin(run: EngineRun): void {
    if (this.#runs.length >= MAX_RUNS) {
      return;
    }
    this.#openRuns.set(run.attempt, this.#runs.length);
    this.#runs.push(run);
  }

  /** Records how a run ended; has no effect for a sequence that never ran. */
  end(attempt: AttemptId, end: EngineRun['end'], endedAt: number): void {
    const index = this.#openRuns.get(attempt);
    const run = index === undefined ? undefined : this.#runs[index];
    if (index === undefined || !run) {
      return;
    }
    this.#openRuns.delete(attempt);
    this.#runs[index] = { ...run, end, endedAt };
  }

  runs(): readonly EngineRun[] {
    return this.#runs;
  }
}
