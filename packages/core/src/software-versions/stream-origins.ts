/**
 * The software versions at which streams began: those of this router, and those that
 * others told it of. Own ones of services with several versions are told to the router
 * that stores them.
 */
import murmurhash from 'murmurhash';

import { streamKey } from '../types/ids';
import type {
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

export interface StreamOrigin {
  readonly key: StreamKey;
  readonly version: SoftwareVersion;
}

interface OwnStream extends StreamOrigin {
  readonly service: ServiceId;
  readonly beganAt: Instant;
  isTold: boolean;
}

/** Returns the key of the stream that a request began: 64 bits of a hash. */
export function keyOfStream(request: RequestId): StreamKey {
  const high = murmurhash.v3(request).toString(RADIX);
  const low = murmurhash.v3(request, SECOND_SEED).toString(RADIX);
  return streamKey(`${high}-${low}`);
}

export class StreamOrigins {
  readonly #history: VersionHistory;
  readonly #own = new Map<StreamKey, OwnStream>();
  /** Origins that others told of, in two generations of which the older one is dropped. */
  #recent = new Map<StreamKey, SoftwareVersion>();
  #older = new Map<StreamKey, SoftwareVersion>();
  #rotatedAt: Instant | undefined;

  constructor(history: VersionHistory) {
    this.#history = history;
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
  ): void {
    const key = keyOfStream(request);
    this.#own.set(key, { key, version, service, beganAt: now, isTold: false });
    const { lifetime } = this.#history;
    for (const [oldest, { beganAt }] of this.#own) {
      const isExpired = elapsed(beganAt, now) > lifetime;
      if (!isExpired && this.#own.size <= MAX_OWN_STREAMS) {
        break;
      }
      this.#own.delete(oldest);
    }
  }

  /** Records the origin of a stream that another router relayed. */
  add({ key, version }: StreamOrigin, now: Instant): void {
    this.#rotatedAt ??= now;
    if (elapsed(this.#rotatedAt, now) > this.#history.lifetime) {
      this.#older = this.#recent;
      this.#recent = new Map();
      this.#rotatedAt = now;
    }
    this.#recent.set(key, version);
  }

  versionOf(key: StreamKey): SoftwareVersion | undefined {
    return (
      this.#own.get(key)?.version ??
      this.#recent.get(key) ??
      this.#older.get(key)
    );
  }

  /** Returns and marks up to `max` own origins that nobody was told of and that others may need. */
  takeUntold(max: number, now: Instant): StreamOrigin[] {
    const untold: StreamOrigin[] = [];
    const mixed = new Map<ServiceId, boolean>();
    for (const stream of this.#own.values()) {
      if (untold.length >= max) {
        break;
      }
      if (stream.isTold) {
        continue;
      }
      const { service, key, version } = stream;
      const isMixed = mixed.get(service) ?? this.#history.isMixed(service, now);
      mixed.set(service, isMixed);
      if (isMixed) {
        stream.isTold = true;
        untold.push({ key, version });
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
}
