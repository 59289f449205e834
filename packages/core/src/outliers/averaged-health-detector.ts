/**
 * Ejects an endpoint when its exponentially averaged health falls below a
 * threshold and restores it above a second one, after Mohiuddin, Saab, Bliudze
 * and Le Boudec, "Axo: Detection and Recovery for Delay and Crash Faults in
 * Real-Time Control Systems", 2018.
 */
import type { EndpointId } from '../types/ids';
import type { AttemptObservation } from './attempt-observation';
import { OutlierDetector, DEFAULT_EJECTION } from './outlier-detector';
import type { EjectionOptions } from './outlier-detector';

export interface HealthOptions {
  /** Weight of the previous health against one observation, between 0 and 1. */
  readonly history: number;
  /** An endpoint whose health falls below this is ejected. */
  readonly ejectBelow: number;
  /** An endpoint on probation is restored when its health rises above this. */
  readonly restoreAbove: number;
}

export const DEFAULT_HEALTH: HealthOptions = {
  history: 0.8,
  ejectBelow: -0.3,
  restoreAbove: 0.4,
};

/** Health of an endpoint without observations. */
const FULL_HEALTH = 1;
/** Health at the start of a probation. */
const PROBATION_HEALTH = 0;
/** Number of failures that a refused connection counts as. */
const REFUSED_CONNECTION_WEIGHT = 2;

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

  /** Returns the endpoint's health, from -1 to 1. */
  health(endpoint: EndpointId): number {
    return this.#health.get(endpoint) ?? FULL_HEALTH;
  }

  protected override record(
    endpoint: EndpointId,
    success: boolean,
    observation: AttemptObservation,
  ): void {
    const repetitions =
      observation.kind === 'connection-refused' ? REFUSED_CONNECTION_WEIGHT : 1;
    const { history } = this.#options;
    let health = this.health(endpoint);
    for (let count = 0; count < repetitions; count += 1) {
      health = history * health + (1 - history) * (success ? 1 : -1);
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
    this.#health.set(endpoint, PROBATION_HEALTH);
  }

  protected override forget(endpoint: EndpointId): void {
    this.#health.delete(endpoint);
  }
}
