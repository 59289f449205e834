/**
 * Ejects an endpoint by an exponentially averaged health with two thresholds,
 * after Mohiuddin, Saab, Bliudze and Le Boudec, "Axo: Detection and Recovery
 * for Delay and Crash Faults in Real-Time Control Systems", 2018.
 */
import type { EndpointId } from '../types/ids';
import type { AttemptObservation } from './attempt-observation';
import { OutlierDetector, DEFAULT_EJECTION } from './outlier-detector';
import type { EjectionOptions } from './outlier-detector';

export interface HealthOptions {
  /** Weight of the history against one verdict, between 0 and 1. */
  readonly history: number;
  /** An endpoint below this is ejected. */
  readonly ejectBelow: number;
  /** An endpoint on probation is back in use above this. */
  readonly restoreAbove: number;
}

export const DEFAULT_HEALTH: HealthOptions = {
  history: 0.8,
  ejectBelow: -0.3,
  restoreAbove: 0.4,
};

/** Health of an endpoint of which nothing is known. */
const fullHealth = 1;
/** Health at the start of a probation. */
const probationHealth = 0;
/** Verdicts for which a refused connection counts. */
const refusedWeight = 2;

export class AveragedHealthDetector extends OutlierDetector {
  readonly #health = new Map<EndpointId, number>();
  readonly #options: HealthOptions;

  constructor(
    ejection: EjectionOptions = DEFAULT_EJECTION,
    options: HealthOptions = DEFAULT_HEALTH,
  ) {
    super(ejection);
    this.#options = options;
  }

  /** The endpoint's health, from -1 to 1. */
  health(endpoint: EndpointId): number {
    return this.#health.get(endpoint) ?? fullHealth;
  }

  protected override record(
    endpoint: EndpointId,
    valid: boolean,
    evidence: AttemptObservation,
  ): void {
    const times = evidence.kind === 'connection-refused' ? refusedWeight : 1;
    const { history } = this.#options;
    let health = this.health(endpoint);
    for (let count = 0; count < times; count += 1) {
      health = history * health + (1 - history) * (valid ? 1 : -1);
    }
    this.#health.set(endpoint, health);
  }

  protected override isUnhealthy(endpoint: EndpointId): boolean {
    return this.health(endpoint) < this.#options.ejectBelow;
  }

  protected override hasRecovered(endpoint: EndpointId): boolean {
    return this.health(endpoint) > this.#options.restoreAbove;
  }

  protected override beginProbation(endpoint: EndpointId): void {
    this.#health.set(endpoint, probationHealth);
  }

  protected override forget(endpoint: EndpointId): void {
    this.#health.delete(endpoint);
  }
}
