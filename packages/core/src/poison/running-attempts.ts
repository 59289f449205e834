/** The attempts that this router has under way, by content and endpoint. */
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
  /** The crash that would interrupt it. */
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

  /** Removes an attempt; undefined when it is not under way. */
  remove(attempt: AttemptId): RunningAttempt | undefined {
    const running = this.#attempts.get(attempt);
    this.#attempts.delete(attempt);
    return running;
  }

  /** Removes what the crash interrupted and returns its content. */
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

  /** The endpoints on which the content runs. */
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
