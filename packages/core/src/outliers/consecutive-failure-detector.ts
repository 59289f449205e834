/** Ejects an endpoint after a number of failures in a row. */
import type { EndpointId } from '../types/ids';
import { OutlierDetector, DEFAULT_EJECTION } from './outlier-detector';
import type { EjectionOptions } from './outlier-detector';

/** Failures in a row that eject an endpoint in use. */
const failuresToEject = 5;
/** Successes in a row that end a probation. */
const successesToRestore = 3;

interface Run {
  failures: number;
  successes: number;
  readonly onProbation: boolean;
}

export class ConsecutiveFailureDetector extends OutlierDetector {
  readonly #runs = new Map<EndpointId, Run>();

  constructor(options: EjectionOptions = DEFAULT_EJECTION) {
    super(options);
  }

  protected override record(endpoint: EndpointId, valid: boolean): void {
    const run = this.#runs.get(endpoint);
    const onProbation = run?.onProbation ?? false;
    this.#runs.set(endpoint, {
      failures: valid ? 0 : (run?.failures ?? 0) + 1,
      successes: valid ? (run?.successes ?? 0) + 1 : 0,
      onProbation,
    });
  }

  protected override isUnhealthy(endpoint: EndpointId): boolean {
    const run = this.#runs.get(endpoint);
    const needed = run?.onProbation ? 1 : failuresToEject;
    return (run?.failures ?? 0) >= needed;
  }

  protected override hasRecovered(endpoint: EndpointId): boolean {
    const proved =
      (this.#runs.get(endpoint)?.successes ?? 0) >= successesToRestore;
    if (proved) {
      this.forget(endpoint);
    }
    return proved;
  }

  protected override beginProbation(endpoint: EndpointId): void {
    this.#runs.set(endpoint, { failures: 0, successes: 0, onProbation: true });
  }

  protected override forget(endpoint: EndpointId): void {
    this.#runs.delete(endpoint);
  }
}
