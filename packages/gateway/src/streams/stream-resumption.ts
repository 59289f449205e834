/**
 * Finds out at which service and software version a stream began that a caller resumes,
 * as only endpoints of that service and version can continue it.
 */
import type { StreamServices } from '@sesamegrade/core/routes/route-history';
import type {
  StreamBegin,
  StreamOrigins,
  StreamSource,
} from '@sesamegrade/core/software-versions/stream-origins';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { withTimeout } from '@sesamegrade/core/time/with-timeout';
import { elapsed, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type {
  RequestId,
  ServiceId,
  SoftwareVersion,
} from '@sesamegrade/core/types/ids';
import { keyOfStream } from './stream-key';
import type {
  OriginConfirmation,
  FoundOrigin,
  OriginReader,
} from './origin-confirmation';

/** Time after which a read of the store, also one of a relay, is not waited for. */
const MAX_CONFIRMATION_TIME: Milliseconds = milliseconds(600);

/** What tells where a stream began. */
export type OriginEvidence =
  /** This router relayed the stream, or knows that its version was revoked. */
  | 'memory'
  /** The record of the stream, that there is none, or the report of its router to a relay. */
  | FoundOrigin['kind'];

/** A stream that this router relays, by the request that began it. */
export interface RelayedBegin extends Omit<StreamBegin, 'key'> {
  readonly request: RequestId;
}

export interface KnownOrigin {
  readonly service: ServiceId;
  readonly version: SoftwareVersion;
}

export interface OriginFinding {
  /** Undefined if nothing tells where the stream began. */
  readonly origin: KnownOrigin | undefined;
  readonly evidence: OriginEvidence | undefined;
  /** Who read the store; undefined if nobody did. */
  readonly reader: OriginReader | undefined;
}

export interface StreamResumptionOptions {
  readonly originConfirmation: Pick<OriginConfirmation, 'confirm'>;
  readonly streamOrigins: StreamOrigins;
  readonly timers: TimerService;
}

export class StreamResumption {
  readonly #options: StreamResumptionOptions;

  constructor(options: StreamResumptionOptions) {
    this.#options = options;
  }

  /** Records where a stream began that this router relays. */
  recordBegin({ request, ...begin }: RelayedBegin): void {
    const { streamOrigins, timers } = this.#options;
    streamOrigins.begin({ ...begin, key: keyOfStream(request) }, timers.now());
  }

  /** Takes back what was recorded of a stream, as its version is no longer certain. */
  revokeBegin(request: RequestId): void {
    this.#options.streamOrigins.forget(keyOfStream(request));
  }

  /**
   * Finds out where a stream began. `servicesNow` returns the services at which it can have
   * begun as far as this router knows by then; `begunBy` is the request that began it, if
   * the caller names it, and `expiresAt` the end of the caller's time, if it says.
   */
  async originOf(
    servicesNow: () => StreamServices,
    begunBy: RequestId | undefined,
    expiresAt?: Instant,
  ): Promise<OriginFinding> {
    const { streamOrigins, originConfirmation, timers } = this.#options;
    const key = begunBy && keyOfStream(begunBy);
    // A record that was read before may be of an attempt that sent no event.
    const known = key && streamOrigins.ownSourceOf(key);
    if (known) {
      const origin = completed(known, servicesNow());
      return { origin, evidence: 'memory', reader: undefined };
    }
    let service: ServiceId | undefined;
    const confirmed = await withTimeout(
      originConfirmation.confirm(() => {
        service = servicesNow().only;
        return { key, service, remaining: remainingUntil(expiresAt, timers) };
      }),
      timers,
      MAX_CONFIRMATION_TIME,
    );
    if (!confirmed) {
      return { origin: undefined, evidence: undefined, reader: undefined };
    }
    const { reader, origin: stored } = confirmed;
    const services = servicesNow();
    const origin =
      stored.kind !== 'unrecorded'
        ? completed(stored.source, services)
        : service !== undefined && services.only === service
          ? completed({ service, version: stored.version }, services)
          : undefined;
    return { origin, evidence: stored.kind, reader };
  }
}

function remainingUntil(
  end: Instant | undefined,
  timers: TimerService,
): Milliseconds | undefined {
  return end === undefined
    ? undefined
    : milliseconds(Math.max(0, elapsed(timers.now(), end)));
}

/** An origin without a service tells enough only if its route leads to one service. */
function completed(
  { service, version }: StreamSource,
  { only, areSeveral }: StreamServices,
): KnownOrigin | undefined {
  if (version === undefined) {
    return undefined;
  }
  const known = service ?? (areSeveral ? undefined : only);
  return known && { service: known, version };
}
