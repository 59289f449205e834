/** Ejects an endpoint after a number of consecutive failures. */
import type { EndpointId } from '../types/ids';
import { OutlierDetector, DEFAULT_EJECTION } from './outlier-detector';
import type { EjectionOptions } from './outlier-detector';

/** Consecutive failures that eject an endpoint in use. */
const FAILURES_TO_EJECT = 5;
/** Consecutive successes that end a probation. */
const SUCCESSES_TO_RESTORE = 3;

interface Streak {
  failures: number;
  successes: number;
  readonly onProbation: boolean;
}

export class ConsecutiveFailureDetector extends OutlierDetector {
  readonly #streaks = new Map<EndpointId, Streak>();

  constructor(options: EjectionOptions = DEFAULT_EJECTION) {
    super(options);
  }

  protected override record(endpoint: EndpointId, success: boolean): void {
    const streak = this.#streaks.get(endpoint);
    const onProbation = streak?.onProbation ?? false;
    this.#streaks.set(endpoint, {
      failures: success ? 0 : (streak?.failures ?? 0) + 1,
      successes: success ? (streak?.successes ?? 0) + 1 : 0,
      onProbation,
    });
  }

  protected override isUnhealthy(endpoint: EndpointId): boolean {
    const streak = this.#streaks.get(endpoint);
    const threshold = streak?.onProbation ? 1 : FAILURES_TO_EJECT;
    return (streak?.failures ?? 0) >= threshold;
  }

  protected override hasRecovered(endpoint: EndpointId): boolean {
    const recovered =
      (this.#streaks.get(endpoint)?.successes ?? 0) >= SUCCESSES_TO_RESTORE;
    if (recovered) {
      this.forget(endpoint);
    }
    return recovered;
  }

  protected override beginProbation(endpoint: EndpointId): void {
    this.#streaks.set(endpoint, {
      failures: 0,
      successes: 0,
      onProbation: true,
    });
  }

  protected override forget(endpoint: EndpointId): void {
    this.#streaks.delete(endpoint);
  }
}
