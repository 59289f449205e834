/**
 * The services and software versions at which streams began: those of this router, and
 * those that are recorded in the store.
 */
import type {
  EndpointId,
  ServiceId,
  SoftwareVersion,
  StreamKey,
} from '../types/ids';
import { addTime, elapsed, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Streams of one router that are remembered; each begins several a second. */
const MAX_OWN_STREAMS = 16_384;
/** Revocations that wait to be recorded; the oldest are dropped beyond. */
const MAX_REVOKED = 16_384;
/** Streams of peers that are remembered; beyond, the oldest are dropped. */
const MAX_REPORTED_STREAMS = 65_536;
/** Life of the streams of a record that does not tell it. */
const NO_LIFETIME = milliseconds(0);
/** Number of the first attempt of a request. */
const FIRST_ATTEMPT = 1;

/** Where a stream began. */
export interface StreamSource {
  /** Undefined if a router of an older build recorded the stream. */
  readonly service: ServiceId | undefined;
  /** Undefined if it is not certain which version sent its events. */
  readonly version: SoftwareVersion | undefined;
}

export interface StreamOrigin extends StreamSource {
  readonly key: StreamKey;
  /** Number of the attempt that began the stream; one of a later attempt replaces it. */
  readonly attempt: number;
}

/** The source of a stream whose version is no longer certain. */
const REVOKED: StreamSource = { service: undefined, version: undefined };

/** An origin with what has to be known to record it. */
export interface OwnOrigin extends StreamOrigin {
  readonly service: ServiceId;
  readonly version: SoftwareVersion;
}

/** An origin with the number of streams of its router that began up to it. */
export interface OrderedOrigin extends OwnOrigin {
  readonly order: number;
}

type RecordState =
  /** The stream began at the default version. */
  | 'not-needed'
  /** The store has not taken the record, or has lost it. */
  | 'missing'
  | 'stored';

interface OwnStream extends OrderedOrigin {
  /** The endpoint that sent the first event. */
  readonly endpoint: EndpointId | undefined;
  readonly beganAt: Instant;
  record: RecordState;
}

interface StoredSource extends StreamSource {
  readonly attempt: number;
}

/** The records of a service and version. */
interface StoredTimes {
  readonly lastAt: Instant;
  /** When the last of their streams has ended by the life that the records tell. */
  readonly until: Instant;
}

export interface StreamBegin {
  readonly key: StreamKey;
  readonly service: ServiceId;
  readonly version: SoftwareVersion;
  /** The endpoint that sent the first event. */
  readonly endpoint?: EndpointId | undefined;
  /** Attempt and record stay as they are known if they are left out. */
  readonly attempt?: number;
  readonly record?: RecordState;
}

export class StreamOrigins {
  readonly #lifetime: () => Milliseconds;
  readonly #own = new Map<StreamKey, OwnStream>();
  #beginCount = 0;
  /** Streams that peers relay and have reported to this router. */
  readonly #reported = new Map<StreamKey, StreamSource>();
  /** Streams whose version is no longer certain and of which the store has no record of that. */
  #revoked: StreamKey[] = [];
  /** Recorded origins, in two generations of which the older one is dropped. */
  #recent = new Map<StreamKey, StoredSource>();
  #older = new Map<StreamKey, StoredSource>();
  /** Longest life that the records of a generation tell. */
  #recentLifetime = NO_LIFETIME;
  #olderLifetime = NO_LIFETIME;
  #rotatedAt: Instant | undefined;
  /** When the latest record was written, as rows are read in any order. */
  #latestAt: Instant | undefined;
  /** When streams of a service and version were recorded. */
  readonly #stored = new Map<
    ServiceId | undefined,
    Map<SoftwareVersion | undefined, StoredTimes>
  >();

  /** `lifetime` returns the longest time from the begin of a stream to its last resumption. */
  constructor(lifetime: () => Milliseconds) {
    this.#lifetime = lifetime;
  }

  /** Number of streams that are remembered. */
  get size(): number {
    return (
      this.#own.size +
      this.#reported.size +
      this.#recent.size +
      this.#older.size
    );
  }

  /** Records that a stream of this router began. */
  begin(
    { key, service, version, endpoint, ...rest }: StreamBegin,
    now: Instant,
  ): void {
    const known = this.#own.get(key);
    const earlier = known?.version === version ? known : undefined;
    this.#own.delete(key);
    this.#beginCount += 1;
    this.#own.set(key, {
      key,
      order: this.#beginCount,
      version,
      service,
      endpoint,
      beganAt: now,
      attempt: rest.attempt ?? earlier?.attempt ?? FIRST_ATTEMPT,
      record: rest.record ?? earlier?.record ?? 'not-needed',
    });
    const lifetime = this.#lifetime();
    for (const [oldest, { beganAt }] of this.#own) {
      const isExpired = elapsed(beganAt, now) > lifetime;
      if (!isExpired && this.#own.size <= MAX_OWN_STREAMS) {
        break;
      }
      this.#own.delete(oldest);
    }
  }

  /** Forgets where a stream of this router began, as that is no longer certain. */
  forget(key: StreamKey): void {
    this.#revoke(key);
  }

  /**
   * Forgets the streams that endpoints began before they started with another version:
   * their entries are late, so that the new processes may have sent the events.
   */
  onStarted(
    versions: ReadonlyMap<EndpointId, SoftwareVersion | undefined>,
  ): void {
    if (versions.size === 0) {
      return;
    }
    for (const { endpoint, version, key } of [...this.#own.values()]) {
      if (
        endpoint !== undefined &&
        versions.has(endpoint) &&
        versions.get(endpoint) !== version
      ) {
        this.#revoke(key);
      }
    }
  }

  /** Adds origins that are recorded in the store; `lifetime` is the life of streams by their record. */
  add(
    keys: readonly StreamKey[],
    source: StreamSource,
    writtenAt: Instant,
    attempt = FIRST_ATTEMPT,
    lifetime = NO_LIFETIME,
  ): void {
    if (keys.length === 0) {
      return;
    }
    this.#rotate(writtenAt);
    this.#recentLifetime = longer(this.#recentLifetime, lifetime);
    this.#recordStored(source, writtenAt, lifetime);
    // One object for all keys: a full table has some 150,000.
    const stored: StoredSource = { ...source, attempt };
    for (const key of keys) {
      if (source.version === undefined) {
        this.#reported.delete(key);
      }
      const known = this.#storedSourceOf(key);
      if (!known || replaces(stored, known)) {
        this.#recent.set(key, stored);
      }
    }
  }

  /** Adds origins of streams that a peer relays and reports. */
  addReported(origins: readonly StreamOrigin[]): void {
    for (const { source, keys } of groupBySource(origins)) {
      for (const key of keys) {
        this.#reported.delete(key);
        this.#reported.set(key, source);
      }
    }
    for (const oldest of this.#reported.keys()) {
      if (this.#reported.size <= MAX_REPORTED_STREAMS) {
        break;
      }
      this.#reported.delete(oldest);
    }
  }

  /** Number of streams that this router has begun. */
  get beginCount(): number {
    return this.#beginCount;
  }

  /** Returns streams of this router in the order in which they began, from after a number on. */
  begunAfter(order: number, max: number): readonly OrderedOrigin[] {
    const found: OrderedOrigin[] = [];
    for (const stream of this.#own.values()) {
      if (found.length >= max) {
        break;
      }
      if (stream.order > order) {
        found.push(stream);
      }
    }
    return found;
  }

  /** Where a stream began as of the last read of the records, which a later attempt may have replaced. */
  sourceOf(key: StreamKey): StreamSource | undefined {
    return (
      this.ownSourceOf(key) ??
      this.#storedSourceOf(key) ??
      this.#reported.get(key)
    );
  }

  /** Where a stream began by the router that relayed it, this one or a peer that has reported it; its version may have been revoked. */
  relayedSourceOf(key: StreamKey): StreamSource | undefined {
    return this.ownSourceOf(key) ?? this.#reported.get(key);
  }

  /** The same by what this router relayed, which no read of the store changes. */
  ownSourceOf(key: StreamKey): StreamSource | undefined {
    const own = this.#own.get(key);
    if (own) {
      return own;
    }
    const stored = this.#storedSourceOf(key);
    return stored && stored.version === undefined ? stored : undefined;
  }

  /** Whether a stream of the service that may still be resumed is recorded at another version. */
  hasStored(
    service: ServiceId,
    other: SoftwareVersion | undefined,
    now: Instant,
  ): boolean {
    const lifetime = this.#lifetime();
    return [service, undefined].some(name =>
      [...(this.#stored.get(name) ?? [])].some(
        ([version, { lastAt, until }]) =>
          (version === undefined || version !== other) &&
          (elapsed(lastAt, now) <= lifetime || elapsed(now, until) >= 0),
      ),
    );
  }

  /** Returns and removes streams of which the store must be told that their version is not certain. */
  takeRevoked(max: number): StreamOrigin[] {
    return this.#revoked.splice(0, max).map(key => ({
      ...REVOKED,
      key,
      attempt: FIRST_ATTEMPT,
    }));
  }

  /** Returns own origins of which the store has no record although it needs one. */
  missing(max: number): OwnOrigin[] {
    const found: OwnOrigin[] = [];
    for (const stream of this.#own.values()) {
      if (found.length >= max) {
        break;
      }
      if (stream.record === 'missing') {
        found.push(stream);
      }
    }
    return found;
  }

  markStored(origins: readonly StreamOrigin[]): void {
    for (const { key } of origins) {
      const stream = this.#own.get(key);
      if (stream) {
        stream.record = 'stored';
      }
    }
  }

  /** Applies those of a peer's records that say that a version is not certain: no later record replaces them. */
  applyRevoked(origins: readonly StreamOrigin[], now: Instant): void {
    const revoked = origins.filter(({ service }) => service === undefined);
    this.add(
      revoked.map(({ key }) => key),
      REVOKED,
      now,
    );
  }

  /** Puts back revocations that the store has not taken. */
  putBackRevoked(origins: readonly StreamOrigin[]): void {
    this.#revoked.unshift(...origins.map(({ key }) => key));
    this.#limitRevoked();
  }

  /** Records that the store may have lost every record. */
  markLost(): void {
    for (const stream of this.#own.values()) {
      if (stream.record === 'stored') {
        stream.record = 'missing';
      }
    }
  }

  #storedSourceOf(key: StreamKey): StoredSource | undefined {
    return this.#recent.get(key) ?? this.#older.get(key);
  }

  #recordStored(
    { service, version }: StreamSource,
    at: Instant,
    lifetime: Milliseconds,
  ): void {
    const versions = this.#stored.get(service) ?? new Map<never, StoredTimes>();
    const known = versions.get(version);
    const until = addTime(at, lifetime);
    versions.set(version, {
      lastAt: later(known?.lastAt, at),
      until: later(known?.until, until),
    });
    this.#stored.set(service, versions);
  }

  #rotate(writtenAt: Instant): void {
    const latestAt = later(this.#latestAt, writtenAt);
    this.#latestAt = latestAt;
    this.#rotatedAt ??= latestAt;
    const lifetime = longer(this.#lifetime(), this.#olderLifetime);
    if (elapsed(this.#rotatedAt, latestAt) > lifetime) {
      this.#older = this.#recent;
      this.#olderLifetime = this.#recentLifetime;
      this.#recent = new Map();
      this.#recentLifetime = NO_LIFETIME;
      this.#rotatedAt = latestAt;
    }
  }

  /** A stream without a record counts as one of the default version, so that this needs one. */
  #revoke(key: StreamKey): void {
    this.#own.delete(key);
    this.#revoked.push(key);
    this.#limitRevoked();
    this.#reported.delete(key);
    this.#recent.set(key, { ...REVOKED, attempt: FIRST_ATTEMPT });
  }

  #limitRevoked(): void {
    this.#revoked.splice(0, this.#revoked.length - MAX_REVOKED);
  }
}

function longer(left: Milliseconds, right: Milliseconds): Milliseconds {
  return milliseconds(Math.max(left, right));
}

function later(known: Instant | undefined, at: Instant): Instant {
  return known !== undefined && elapsed(known, at) < 0 ? known : at;
}

/** Whether a recorded origin counts instead of a known one; what is not certain stays so. */
function replaces(source: StoredSource, known: StoredSource): boolean {
  if (source.version === undefined || known.version === undefined) {
    return known.version !== undefined;
  }
  const isFuller = known.service === undefined || source.service !== undefined;
  return isFuller && source.attempt >= known.attempt;
}

/** Origins of one service, version and attempt, and the keys of their streams. */
export interface OriginGroup {
  readonly source: StreamSource;
  readonly attempt: number;
  readonly keys: StreamKey[];
}

export function groupBySource(origins: readonly StreamOrigin[]): OriginGroup[] {
  const groups = new Map<string, OriginGroup>();
  for (const { key, service, version, attempt } of origins) {
    const name = JSON.stringify([service, version, attempt]);
    const group = groups.get(name) ?? {
      source: { service, version },
      attempt,
      keys: [],
    };
    group.keys.push(key);
    groups.set(name, group);
  }
  return [...groups.values()];
}
