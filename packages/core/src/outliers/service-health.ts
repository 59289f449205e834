/** Health of the endpoints of each service by itself, as a service without use must not use up the cap of another. */
import type { EndpointEntry } from '../endpoints/endpoint-entry';
import type { AttemptId, EndpointId, ServiceId } from '../types/ids';
import type { Instant } from '../types/units';
import { AveragedHealthDetector } from './averaged-health-detector';
import type { Evidence } from './evidence';
import { defaultEjection } from './outlier-detector';
import type { EjectionOptions, StandingChange } from './outlier-detector';

export class ServiceHealth {
  readonly #ejection: EjectionOptions;
  readonly #detectors = new Map<ServiceId, AveragedHealthDetector>();
  readonly #services = new Map<EndpointId, ServiceId>();

  constructor(ejection: EjectionOptions = defaultEjection) {
    this.#ejection = ejection;
  }

  /** Takes the endpoints of all services; forgets those that are gone. */
  endpointsChanged(entries: readonly EndpointEntry[], now: Instant): void {
    const ids = new Map<ServiceId, EndpointId[]>();
    this.#services.clear();
    for (const { id, service } of entries) {
      this.#services.set(id, service);
      const ofService = ids.get(service) ?? [];
      ofService.push(id);
      ids.set(service, ofService);
    }
    for (const service of new Set([...ids.keys(), ...this.#detectors.keys()])) {
      this.#detector(service).endpointsChanged(ids.get(service) ?? [], now);
    }
  }

  /** True when a new attempt may go to the endpoint. */
  accepts(endpoint: EndpointId): boolean {
    return this.#of(endpoint)?.accepts(endpoint) ?? true;
  }

  /** The endpoint's health, from -1 to 1. */
  health(endpoint: EndpointId): number {
    return this.#of(endpoint)?.health(endpoint) ?? 1;
  }

  started(endpoint: EndpointId, attempt: AttemptId, now: Instant): void {
    this.#of(endpoint)?.started(endpoint, attempt, now);
  }

  ended(
    endpoint: EndpointId,
    attempt: AttemptId,
    evidence: Evidence | undefined,
    now: Instant,
  ): readonly StandingChange[] {
    return this.#of(endpoint)?.ended(endpoint, attempt, evidence, now) ?? [];
  }

  tick(now: Instant): readonly StandingChange[] {
    return [...this.#detectors.values()].flatMap(detector =>
      detector.tick(now),
    );
  }

  #of(endpoint: EndpointId): AveragedHealthDetector | undefined {
    const service = this.#services.get(endpoint);
    return service === undefined ? undefined : this.#detectors.get(service);
  }

  #detector(service: ServiceId): AveragedHealthDetector {
    let detector = this.#detectors.get(service);
    if (!detector) {
      detector = new AveragedHealthDetector(this.#ejection);
      this.#detectors.set(service, detector);
    }
    return detector;
  }
}
