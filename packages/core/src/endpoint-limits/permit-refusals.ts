/** Remembers which permits this router was refused, and asks for none before the time it was told. */
import type { EndpointId, ServiceId } from '../types/ids';
import { addTime, elapsed, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/**
 * Longest time for which one refused query of a service stands for later ones of no
 * higher rank, for each router of the fleet. It bounds the queries that the issuer answers.
 */
const SERVICE_REFUSAL_MS_PER_ROUTER = 1;

interface ServiceRefusal {
  readonly rank: number;
  readonly until: Instant;
  /** When a permit was expected for the query that was refused. */
  readonly expectedAt: Instant;
}

export class PermitRefusals {
  readonly #endpoints = new Map<EndpointId, Instant>();
  readonly #services = new Map<ServiceId, ServiceRefusal>();
  readonly #routers: () => number;

  /** `routers` returns the number of routers of the fleet. */
  constructor(routers: () => number) {
    this.#routers = routers;
  }

  /** Records that an endpoint has no permits for a while. */
  addEndpoint(
    endpoint: EndpointId,
    retryAfter: Milliseconds,
    now: Instant,
  ): void {
    this.#endpoints.set(endpoint, addTime(now, retryAfter));
  }

  /** Records that no endpoint of a service has a permit for requests of a rank, or less urgent ones. */
  addService(
    service: ServiceId,
    rank: number,
    retryAfter: Milliseconds,
    now: Instant,
  ): void {
    this.#services.set(service, {
      rank,
      until: addTime(
        now,
        milliseconds(
          Math.min(retryAfter, this.#routers() * SERVICE_REFUSAL_MS_PER_ROUTER),
        ),
      ),
      expectedAt: addTime(now, retryAfter),
    });
  }

  /** Time until the endpoint may have permits; 0 if it may have some now. */
  remaining(endpoint: EndpointId, now: Instant): Milliseconds {
    const until = this.#endpoints.get(endpoint);
    if (until === undefined) {
      return milliseconds(0);
    }
    const remaining = elapsed(now, until);
    if (remaining <= 0) {
      this.#endpoints.delete(endpoint);
      return milliseconds(0);
    }
    return remaining;
  }

  /** Time until a permit is expected if a query of the rank would be refused; undefined if not known. */
  ofService(
    service: ServiceId,
    rank: number,
    now: Instant,
  ): Milliseconds | undefined {
    const refusal = this.#services.get(service);
    const applies =
      refusal !== undefined &&
      refusal.rank <= rank &&
      elapsed(now, refusal.until) > 0;
    return applies ? elapsed(now, refusal.expectedAt) : undefined;
  }

  /** Forgets the refusals of an endpoint whose limit has changed, and those of every service. */
  remove(endpoint: EndpointId): void {
    this.#endpoints.delete(endpoint);
    this.#services.clear();
  }
}
