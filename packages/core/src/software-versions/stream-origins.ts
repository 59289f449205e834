/**
 * The services and software versions at which streams began: those of this router, and
 * those that others told it of. Own ones that others may need are told to the router that
 * stores them: those of services with several versions, and of routes with several services.
 */
import murmurhash from 'murmurhash';

import type { RouteHistory } from '../routes/route-history';
import { streamKey } from '../types/ids';
import type {
  EndpointId,
  RequestId,
  ServiceId,
  SoftwareVersion,
  StreamKey,
} from '../types/ids';
import { elapsed } from '../types/units';
import type { Instant } from '../types/units';
import type { VersionHistory } from './version-history';

const RADIX = 36;
const SECOND_SEED = 1;
/** Streams of one router that are remembered; each begins several a second. */
const MAX_OWN_STREAMS = 16_384;
/** Revocations that wait to be told; the oldest are dropped beyond. */
const MAX_REVOKED = 16_384;

/** Where a stream began. */
export interface StreamSource {
  /** Undefined if a router of an older build told of the stream. */
  readonly service: ServiceId | undefined;
  /** Undefined if another version than the recorded one may have sent its events. */
  readonly version: SoftwareVersion | undefined;
}

const REVOKED: StreamSource = { service: undefined, version: undefined };

export interface StreamOrigin extends StreamSource {
  readonly key: StreamKey;
}

interface OwnStream {
  readonly key: StreamKey;
  readonly service: ServiceId;
  readonly version: SoftwareVersion;
  /** The endpoint that sent the first event. */
  readonly endpoint: EndpointId | undefined;
  readonly beganAt: Instant;
  isTold: boolean;
  /** Whether any router was told of it, also one that is gone. */
  wasEverTold: boolean;
}

/** Returns the key of the stream that a request began: 64 bits of a hash. */
export function keyOfStream(request: RequestId): StreamKey {
  const high = murmurhash.v3(request).toString(RADIX);
  const low = murmurhash.v3(request, SECOND_SEED).toString(RADIX);
  return streamKey(`${high}-${low}`);
}

export class StreamOrigins {
  readonly #versionHistory: VersionHistory;
  readonly #routeHistory: Pick<RouteHistory, 'isShared'>;
  readonly #own = new Map<StreamKey, OwnStream>();
  /** Streams that were told and whose version is no longer certain. */
  readonly #revoked: StreamKey[] = [];
  /** Origins that others told of, in two generations of which the older one is dropped. */
  #recent = new Map<StreamKey, StreamSource>();
  #older = new Map<StreamKey, StreamSource>();
  #rotatedAt: Instant | undefined;

  constructor(
    versionHistory: VersionHistory,
    routeHistory: Pick<RouteHistory, 'isShared'>,
  ) {
    this.#versionHistory = versionHistory;
    this.#routeHistory = routeHistory;
  }

  /** Number of streams that are remembered. */
  get size(): number {
    return this.#own.size + this.#recent.size + this.#older.size;
  }

  /** Records that a stream of this router began. */
  begin(
    request: RequestId,
    service: ServiceId,
    version: SoftwareVersion,
    now: Instant,
    endpoint?: EndpointId,
  ): void {
    const key = keyOfStream(request);
    this.#own.delete(key);
    this.#own.set(key, {
      key,
      version,
      service,
      endpoint,
      beganAt: now,
      isTold: false,
      wasEverTold: false,
    });
    const { lifetime } = this.#versionHistory;
    for (const [oldest, { beganAt }] of this.#own) {
      const isExpired = elapsed(beganAt, now) > lifetime;
      if (!isExpired && this.#own.size <= MAX_OWN_STREAMS) {
        break;
      }
      this.#own.delete(oldest);
    }
  }

  /** Forgets where a stream of this router began, as that is no longer certain. */
  forget(request: RequestId): void {
    this.#revoke(keyOfStream(request));
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

  /** Records the origins of streams that another router relayed. */
  add(keys: readonly StreamKey[], source: StreamSource, now: Instant): void {
    this.#rotatedAt ??= now;
    if (elapsed(this.#rotatedAt, now) > this.#versionHistory.lifetime) {
      this.#older = this.#recent;
      this.#recent = new Map();
      this.#rotatedAt = now;
    }
    for (const key of keys) {
      const known = this.#recent.get(key) ?? this.#older.get(key);
      const isRevoked = known !== undefined && known.version === undefined;
      const isFuller =
        known?.service === undefined || source.service !== undefined;
      if (source.version === undefined || (!isRevoked && isFuller)) {
        this.#recent.set(key, source);
      }
    }
  }

  sourceOf(key: StreamKey): StreamSource | undefined {
    return this.#own.get(key) ?? this.#recent.get(key) ?? this.#older.get(key);
  }

  /** Returns and clears the streams that were told and whose version is no longer certain. */
  takeRevoked(max: number): StreamOrigin[] {
    return this.#revoked.splice(0, max).map(key => ({ key, ...REVOKED }));
  }

  /** Whether others may need the origins of the service's streams. */
  areNeeded(service: ServiceId, now: Instant): boolean {
    return (
      this.#versionHistory.isMixed(service, now) ||
      this.#routeHistory.isShared(service, now)
    );
  }

  /** Returns and marks up to `max` own origins that nobody was told of and that others may need. */
  takeUntold(max: number, now: Instant): StreamOrigin[] {
    const untold: StreamOrigin[] = [];
    const needed = new Map<ServiceId, boolean>();
    for (const stream of this.#own.values()) {
      if (untold.length >= max) {
        break;
      }
      if (stream.isTold) {
        continue;
      }
      const { service, key, version } = stream;
      const isNeeded = needed.get(service) ?? this.areNeeded(service, now);
      needed.set(service, isNeeded);
      if (isNeeded) {
        stream.isTold = true;
        stream.wasEverTold = true;
        untold.push({ key, service, version });
      }
    }
    return untold;
  }

  /** Tells all own origins again, as the router that was told of them is gone. */
  tellAgain(): void {
    for (const stream of this.#own.values()) {
      stream.isTold = false;
    }
  }

  /** Others keep what they were told, so that they are told of the revocation as well. */
  #revoke(key: StreamKey): void {
    const known = this.#own.get(key);
    this.#own.delete(key);
    if (known?.wasEverTold) {
      this.#revoked.push(key);
      this.#revoked.splice(0, this.#revoked.length - MAX_REVOKED);
      // The stored origins tell this router of its own streams as well.
      this.#recent.set(key, REVOKED);
    }
  }
}

/** Groups keys of streams by their origins. */
export function groupBySource(
  origins: readonly StreamOrigin[],
): { readonly source: StreamSource; readonly keys: StreamKey[] }[] {
  const groups = new Map<
    string,
    { readonly source: StreamSource; readonly keys: StreamKey[] }
  >();
  for (const { key, service, version } of origins) {
    const name = JSON.stringify([service, version]);
    const group = groups.get(name) ?? {
      source: { service, version },
      keys: [],
    };
    group.keys.push(key);
    groups.set(name, group);
  }
  return [...groups.values()];
}
