/**
 * Detects outliers within each service separately, so that ejections in one
 * service, such as an unused one, do not use up the ejection limit of another.
 */
import type { EndpointEntry } from '../endpoints/endpoint-entry';
import type { AttemptId, EndpointId, ServiceId } from '../types/ids';
import type { Instant } from '../types/units';
import { AveragedHealthDetector } from './averaged-health-detector';
import type { AttemptObservation } from './attempt-observation';
import { DEFAULT_EJECTION } from './outlier-detector';
import type { EjectionOptions, EjectionChange } from './outlier-detector';

export class ServiceHealth {
  readonly #ejection: EjectionOptions;
  readonly #detectors = new Map<ServiceId, AveragedHealthDetector>();
  readonly #serviceOf = new Map<EndpointId, ServiceId>();

  constructor(ejection: EjectionOptions = DEFAULT_EJECTION) {
    this.#ejection = ejection;
  }

  /**
   * Replaces the endpoints of all services; the state of removed endpoints is
   * dropped.
   */
  onEndpointsChanged(entries: readonly EndpointEntry[], now: Instant): void {
    const idsByService = new Map<ServiceId, EndpointId[]>();
    this.#serviceOf.clear();
    for (const { id, service } of entries) {
      this.#serviceOf.set(id, service);
      const serviceIds = idsByService.get(service) ?? [];
      serviceIds.push(id);
      idsByService.set(service, serviceIds);
    }
    for (const service of new Set([
      ...idsByService.keys(),
      ...this.#detectors.keys(),
    ])) {
      this.#getOrCreateDetector(service).onEndpointsChanged(
        idsByService.get(service) ?? [],
        now,
      );
    }
  }

  /** True when a new attempt may be sent to the endpoint. */
  accepts(endpoint: EndpointId): boolean {
    return this.#detectorOf(endpoint)?.accepts(endpoint) ?? true;
  }

  /** Returns the endpoint's health, from -1 to 1. */
  health(endpoint: EndpointId): number {
    return this.#detectorOf(endpoint)?.health(endpoint) ?? 1;
  }

  onAttemptStarted(
    endpoint: EndpointId,
    attempt: AttemptId,
    now: Instant,
  ): void {
    this.#detectorOf(endpoint)?.onAttemptStarted(endpoint, attempt, now);
  }

  onAttemptEnded(
    endpoint: EndpointId,
    attempt: AttemptId,
    observation: AttemptObservation | undefined,
    now: Instant,
  ): readonly EjectionChange[] {
    return (
      this.#detectorOf(endpoint)?.onAttemptEnded(
        endpoint,
        attempt,
        observation,
        now,
      ) ?? []
    );
  }

  tick(now: Instant): readonly EjectionChange[] {
    return [...this.#detectors.values()].flatMap(detector =>
      detector.tick(now),
    );
  }

  #detectorOf(endpoint: EndpointId): AveragedHealthDetector | undefined {
    const service = this.#serviceOf.get(endpoint);
    return service === undefined ? undefined : this.#detectors.get(service);
  }

  #getOrCreateDetector(service: ServiceId): AveragedHealthDetector {
    let detector = this.#detectors.get(service);
    if (!detector) {
      detector = new AveragedHealthDetector(this.#ejection);
      this.#detectors.set(service, detector);
    }
    return detector;
  }
}
