/** Tracks this router's attempts in progress by content and endpoint. */
import type {
  AttemptId,
  EndpointId,
  Fingerprint,
  Incarnation,
} from '../types/ids';
import { crashIdOf } from './suspect';
import type { CrashId } from './suspect';

export interface RunningAttempt {
  readonly id: Fingerprint;
  readonly endpoint: EndpointId;
  /** Id of the crash that would interrupt the attempt. */
  readonly crash: CrashId;
}

export class RunningAttempts {
  readonly #attempts = new Map<AttemptId, RunningAttempt>();

  add(
    attempt: AttemptId,
    id: Fingerprint,
    endpoint: EndpointId,
    incarnation: Incarnation,
  ): void {
    const crash = crashIdOf(endpoint, incarnation);
    this.#attempts.set(attempt, { id, endpoint, crash });
  }

  /**
   * Removes an attempt and returns it; undefined when it is not in progress.
   */
  remove(attempt: AttemptId): RunningAttempt | undefined {
    const running = this.#attempts.get(attempt);
    this.#attempts.delete(attempt);
    return running;
  }

  /**
   * Removes the attempts that the crash interrupted and returns their content.
   */
  takeInterrupted(crash: CrashId): Fingerprint[] {
    const interrupted: Fingerprint[] = [];
    for (const [attempt, running] of this.#attempts) {
      if (running.crash === crash) {
        this.#attempts.delete(attempt);
        interrupted.push(running.id);
      }
    }
    return interrupted;
  }

  /** Returns the endpoints on which the content runs. */
  endpointsOf(id: Fingerprint): EndpointId[] {
    const endpoints: EndpointId[] = [];
    for (const running of this.#attempts.values()) {
      if (running.id === id) {
        endpoints.push(running.endpoint);
      }
    }
    return endpoints;
  }
}
