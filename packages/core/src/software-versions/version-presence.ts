/** Which software versions of each service this router has seen, and since when without a gap. */
import type { EndpointEntry } from '../endpoints/endpoint-entry';
import type { ServiceId, SoftwareVersion } from '../types/ids';
import { elapsed } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** A version of a service; undefined for endpoints that name none. */
type SeenVersion = SoftwareVersion | undefined;

export class VersionPresence {
  readonly #seen = new Map<ServiceId, Map<SeenVersion, Instant>>();
  #observedSince: Instant | undefined;
  #present: ReadonlyMap<ServiceId, ReadonlySet<SeenVersion>> = new Map();

  /** The services that have endpoints. */
  get services(): ServiceId[] {
    return [...this.#present.keys()];
  }

  /** Records the endpoints that exist now. */
  observe(entries: readonly EndpointEntry[], now: Instant): void {
    this.#observedSince ??= now;
    const present = new Map<ServiceId, Set<SeenVersion>>();
    for (const { service, softwareVersion } of entries) {
      const versions = present.get(service) ?? new Set();
      present.set(service, versions.add(softwareVersion));
      const seen = this.#seen.get(service) ?? new Map<never, Instant>();
      this.#seen.set(service, seen.set(softwareVersion, now));
    }
    this.#present = present;
  }

  /** Records that versions may have come and left unseen. */
  markMissed(): void {
    this.#observedSince = undefined;
  }

  /** The versions of a service that have endpoints. */
  present(service: ServiceId): ReadonlySet<SeenVersion> {
    return this.#present.get(service) ?? new Set();
  }

  /** Whether a version had endpoints within the last time. */
  isSeenWithin(
    service: ServiceId,
    version: SoftwareVersion,
    span: Milliseconds,
    now: Instant,
  ): boolean {
    const seenAt = this.#seen.get(service)?.get(version);
    return seenAt !== undefined && elapsed(seenAt, now) <= span;
  }

  /** The only version that the service has had for a time; undefined if that is not certain. */
  onlyVersion(
    service: ServiceId,
    span: Milliseconds,
    now: Instant,
  ): SoftwareVersion | undefined {
    const isCovered =
      this.#observedSince !== undefined &&
      elapsed(this.#observedSince, now) >= span;
    if (!isCovered) {
      return undefined;
    }
    const recent = [...(this.#seen.get(service) ?? [])].filter(
      ([, seenAt]) => elapsed(seenAt, now) <= span,
    );
    return recent.length === 1 ? recent[0]?.[0] : undefined;
  }

  /** Forgets versions that were last seen longer ago than the given time. */
  removeOlder(span: Milliseconds, now: Instant): void {
    for (const [service, versions] of this.#seen) {
      for (const [version, seenAt] of versions) {
        if (elapsed(seenAt, now) > span) {
          versions.delete(version);
        }
      }
      if (versions.size === 0) {
        this.#seen.delete(service);
      }
    }
  }
}
