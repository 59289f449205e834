/**
 * The default software version of each service, as the store lists it. A stream at another
 * version is recorded in the store before its first event, so that one without a record
 * began at the default version, whatever routers and endpoints were lost since.
 */
import type { EndpointEntry } from '../endpoints/endpoint-entry';
import type { StoreEra } from '../store/feed-position';
import type { ServiceId, SoftwareVersion } from '../types/ids';
import { elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { longestCallerTime } from './stream-lifetime';

/** Age up to which a list that names a default version as unused lets streams lack a record. */
export const MAX_UNUSED_LIST_AGE: Milliseconds = seconds(30);

/** Time by which the begin of a stream that the caller's time shows may be too late. */
const BEGIN_TOLERANCE: Milliseconds = seconds(1);

/** Time after which the answer to a read counts as late. */
const MAX_READ_TIME: Milliseconds = seconds(2);

/** The only other version that begins streams without a record while the default one is unused. */
export interface SuccessorVersion {
  readonly version: SoftwareVersion;
  /** Since when every router goes by the entry; undefined as long as that is not certain. */
  readonly agreedAt: AgreementTime | undefined;
}

/** A moment by two clocks, either of which may step. */
export interface AgreementTime {
  /** In ms on the store's clock. */
  readonly storeTime: number;
  /** In ms of Unix time, by the clock of the router that wrote the entry. */
  readonly wallTime: number;
}

/** What a caller that resumes a stream shows about the begin of that. */
export interface BeginEvidence {
  /** Time for which the caller will still wait. */
  readonly remaining: Milliseconds;
  /** Longest life of streams on the routes that the router knows. */
  readonly lifetime: Milliseconds;
  /** Unix time in ms. */
  readonly wallTime: number;
}

export interface DefaultVersion {
  readonly service: ServiceId;
  readonly version: SoftwareVersion;
  /**
   * Time in ms on the store's clock from which every stream that may still be resumed and
   * is not recorded began at the version.
   */
  readonly since: number;
  /**
   * Time in ms on the store's clock since which only other versions have endpoints;
   * undefined while it is in use.
   */
  readonly unusedSince: number | undefined;
  /** Undefined while it is in use, or if several other versions have endpoints. */
  readonly successor?: SuccessorVersion | undefined;
}

/** The list of default versions, as a read of the store shows it. */
export interface DefaultVersionList {
  readonly defaults: readonly DefaultVersion[];
  /** Era of the store in which it was written; undefined if there is no list. */
  readonly writtenIn: StoreEra | undefined;
  /** Name of the routing whose moves of routes it covers; older builds name none. */
  readonly routing?: string | undefined;
  /** Longest life of the streams that began before it was written; older builds name none. */
  readonly lifetime?: Milliseconds | undefined;
}

/** A read of the store. */
export interface StoreRead {
  readonly era: StoreEra;
  /** Time on the store's clock in ms; undefined if the store does not name it. */
  readonly storeTime: number | undefined;
  readonly sentAt: Instant;
  readonly receivedAt: Instant;
}

export class DefaultVersions {
  readonly #byService = new Map<ServiceId, DefaultVersion>();
  /** Since when each version of a service has endpoints. */
  #presentSince: ReadonlyMap<ServiceId, ReadonlyMap<SoftwareVersion, Instant>> =
    new Map();
  #isCurrent = false;
  #routing: string | undefined;
  #lifetime: Milliseconds | undefined;
  /** When the last read of the list was sent. */
  #readSentAt: Instant | undefined;
  /** Era of the store that it showed. */
  #era: StoreEra | undefined;
  /** The least difference of the store's time and this router's, in ms; undefined before the first read. */
  #clockOffset: number | undefined;

  /** Name of the routing whose moves of routes the list covers. */
  get routing(): string | undefined {
    return this.#routing;
  }

  /** Whether the list has to be read before the default versions of all services with endpoints count. */
  get isOutdated(): boolean {
    return (
      !this.#isCurrent ||
      [...this.#presentSince.keys()].some(service => !this.has(service)) ||
      [...this.#byService.values()].some(
        ({ service, version }) =>
          this.#presence(service, version) === 'since-read',
      )
    );
  }

  /** Whether a service has endpoints, and none of its default version, which may have changed. */
  get isUnused(): boolean {
    return [...this.#byService.values()].some(
      ({ service, version }) =>
        this.#presentSince.has(service) &&
        this.#presence(service, version) === 'absent',
    );
  }

  /** Applies a read of the list; one of an earlier era of the store counts for nothing. */
  apply(list: DefaultVersionList, read: StoreRead): void {
    const { defaults, writtenIn, routing, lifetime } = list;
    const isLate =
      this.#readSentAt !== undefined &&
      elapsed(this.#readSentAt, read.sentAt) < 0;
    const isOfEarlierEra = this.#era !== undefined && read.era < this.#era;
    if (isLate || isOfEarlierEra) {
      return;
    }
    this.#isCurrent = writtenIn === read.era;
    this.#routing = routing;
    this.#lifetime = lifetime;
    this.#readSentAt = read.sentAt;
    this.#era = read.era;
    this.#applyClock(read);
    this.#byService.clear();
    for (const entry of defaults) {
      this.#byService.set(entry.service, entry);
    }
  }

  /** A step forward of the store's clock proves nothing earlier, so that the least offset counts. */
  #applyClock({ storeTime, sentAt, receivedAt }: StoreRead): void {
    const offset = (storeTime ?? receivedAt) - receivedAt;
    if (this.#clockOffset === undefined) {
      this.#clockOffset = offset;
      return;
    }
    // The time for which an answer waited says nothing of the store's clock.
    const isSlow = elapsed(sentAt, receivedAt) > MAX_READ_TIME;
    const most = (storeTime ?? sentAt) - sentAt;
    this.#clockOffset = Math.min(this.#clockOffset, isSlow ? most : offset);
  }

  /** Records that the store was restored from a copy, whose list has not been read yet. */
  invalidate(): void {
    this.#isCurrent = false;
  }

  /** Records the endpoints that exist now. */
  observe(entries: readonly EndpointEntry[], now: Instant): void {
    const present = new Map<ServiceId, Map<SoftwareVersion, Instant>>();
    for (const { service, softwareVersion } of entries) {
      if (softwareVersion === undefined) {
        continue;
      }
      const versions = present.get(service) ?? new Map<never, Instant>();
      const since =
        this.#presentSince.get(service)?.get(softwareVersion) ?? now;
      present.set(service, versions.set(softwareVersion, since));
    }
    this.#presentSince = present;
  }

  /** The version of every stream of the service that is not recorded; undefined if that is not certain. */
  versionOfUnrecorded(
    service: ServiceId,
    now: Instant,
  ): SoftwareVersion | undefined {
    const entry = this.#inUse(service);
    const isProven =
      entry !== undefined &&
      this.#clockOffset !== undefined &&
      now + this.#clockOffset >= entry.since;
    return isProven ? entry.version : undefined;
  }

  /**
   * The version of a stream without a record that a caller resumes. While the default version is
   * unused, one that began after all routers knew that can only have begun at the successor.
   */
  versionOfResumed(
    service: ServiceId,
    now: Instant,
    evidence: BeginEvidence | undefined,
  ): SoftwareVersion | undefined {
    return (
      this.versionOfUnrecorded(service, now) ??
      (evidence && this.#successorSince(service, now, evidence))
    );
  }

  #successorSince(
    service: ServiceId,
    now: Instant,
    { remaining, lifetime, wallTime }: BeginEvidence,
  ): SoftwareVersion | undefined {
    const entry = this.#byService.get(service);
    const successor = entry?.successor;
    const agreedAt = successor?.agreedAt;
    const known = this.#lifetime;
    if (
      !entry ||
      !agreedAt ||
      !this.#isCurrent ||
      known === undefined ||
      this.#clockOffset === undefined
    ) {
      return undefined;
    }
    const storeTime = now + this.#clockOffset;
    const longestTime = longestCallerTime(
      milliseconds(Math.max(known, lifetime)),
    );
    // A caller that had less time at first has waited for less than the difference.
    const age = Math.max(0, longestTime - remaining) + BEGIN_TOLERANCE;
    const sinceAgreement = Math.min(
      storeTime - agreedAt.storeTime,
      wallTime - agreedAt.wallTime,
    );
    const isProven =
      remaining <= longestTime &&
      storeTime >= entry.since &&
      sinceAgreement >= age;
    return isProven ? successor.version : undefined;
  }

  /** Whether the version is the only one that begins streams without a record, beside an unused default version. */
  isSuccessor(
    service: ServiceId,
    version: SoftwareVersion | undefined,
  ): boolean {
    const successor = this.#byService.get(service)?.successor;
    return successor !== undefined && successor.version === version;
  }

  /** The entries of unused default versions with a successor, as they were read last. */
  get succeeded(): DefaultVersion[] {
    return this.#isCurrent
      ? [...this.#byService.values()].filter(({ successor }) => successor)
      : [];
  }

  /**
   * Whether a stream may begin at a version without a record: the list names it as the
   * default version, as of a read since it has had endpoints.
   */
  needsNoRecord(
    service: ServiceId,
    version: SoftwareVersion | undefined,
    now: Instant,
  ): boolean {
    return (
      version !== undefined &&
      this.versionOfUnrecorded(service, now) === version &&
      this.#presence(service, version) === 'before-read'
    );
  }

  /**
   * Whether a stream may lack a record that cannot be stored, as it will be refused rather
   * than taken for one of another version. At the default version it may; at its successor, or
   * at any if there is none, while that is unused, as of a read that is no older than the
   * plan of the list allows for.
   */
  mayLackRecord(
    service: ServiceId,
    version: SoftwareVersion | undefined,
    now: Instant,
  ): boolean {
    const entry = this.#byService.get(service);
    if (!entry || !this.#isCurrent || this.#readSentAt === undefined) {
      return false;
    }
    if (entry.unusedSince === undefined) {
      return (
        version === entry.version &&
        this.#presence(service, version) === 'before-read'
      );
    }
    const isAllowed = !entry.successor || entry.successor.version === version;
    return isAllowed && elapsed(this.#readSentAt, now) <= MAX_UNUSED_LIST_AGE;
  }

  /** Whether the service has a default version, also one that is not certain at present. */
  has(service: ServiceId): boolean {
    return this.#byService.has(service);
  }

  #inUse(service: ServiceId): DefaultVersion | undefined {
    const entry = this.#byService.get(service);
    return this.#isCurrent && entry?.unusedSince === undefined
      ? entry
      : undefined;
  }

  /** Whether a version has endpoints, and whether the list was read since it has some. */
  #presence(
    service: ServiceId,
    version: SoftwareVersion,
  ): 'absent' | 'before-read' | 'since-read' {
    const since = this.#presentSince.get(service)?.get(version);
    if (since === undefined) {
      return 'absent';
    }
    const isRead =
      this.#readSentAt !== undefined && elapsed(since, this.#readSentAt) >= 0;
    return isRead ? 'before-read' : 'since-read';
  }
}
