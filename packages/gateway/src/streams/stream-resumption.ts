/**
 * Finds out at which service and software version a stream began that a caller resumes,
 * as only endpoints of that service and version can continue it.
 */
import type { StreamServices } from '@sesamegrade/core/routes/route-history';
import { keyOfStream } from '@sesamegrade/core/software-versions/stream-origins';
import type {
  StreamOrigins,
  StreamSource,
} from '@sesamegrade/core/software-versions/stream-origins';
import type {
  StreamVersion,
  VersionHistory,
} from '@sesamegrade/core/software-versions/version-history';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { withTimeout } from '@sesamegrade/core/time/with-timeout';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type {
  EndpointId,
  RequestId,
  ServiceId,
  SoftwareVersion,
  StreamKey,
} from '@sesamegrade/core/types/ids';
import type {
  EndpointConfirmation,
  EndpointEvidence,
} from '../store/endpoint-confirmation';
import type { StreamLedger } from './stream-ledger';

/** Time after which a read of the endpoints, also one of a relay, is not waited for. */
const MAX_CONFIRMATION_TIME: Milliseconds = milliseconds(250);
/** The same for the rows with the origins of streams, which are read twice. */
const MAX_LOOKUP_TIME: Milliseconds = milliseconds(600);

/** What tells where a stream began. */
export type OriginEvidence =
  /** This router relayed the stream, or was told of it. */
  | 'memory'
  /** The service had one version, as of a read of the store that followed the request. */
  | EndpointEvidence
  /** The stream is among those that are stored. */
  | 'ledger';

export interface KnownOrigin {
  readonly service: ServiceId;
  readonly version: SoftwareVersion;
}

export interface OriginFinding {
  /** Undefined if nothing tells where the stream began. */
  readonly origin: KnownOrigin | undefined;
  readonly evidence: OriginEvidence | undefined;
  /** What this router knows of the service's versions; undefined if it was not looked at. */
  readonly history: StreamVersion['kind'] | undefined;
}

export interface StreamResumptionOptions {
  readonly endpointConfirmation: Pick<EndpointConfirmation, 'confirm'>;
  readonly versionHistory: VersionHistory;
  readonly streamOrigins: StreamOrigins;
  readonly streamLedger: StreamLedger;
  readonly timers: TimerService;
}

const NOTHING: OriginFinding = {
  origin: undefined,
  evidence: undefined,
  history: undefined,
};

export class StreamResumption {
  readonly #options: StreamResumptionOptions;

  constructor(options: StreamResumptionOptions) {
    this.#options = options;
  }

  /** Records the version of a stream that a request began and that this router relays. */
  recordBegin(
    request: RequestId,
    service: ServiceId,
    version: SoftwareVersion | undefined,
    endpoint?: EndpointId,
  ): void {
    if (version !== undefined) {
      const { streamOrigins, streamLedger, timers } = this.#options;
      streamOrigins.begin(request, service, version, timers.now(), endpoint);
      streamLedger.onBegun(service);
    }
  }

  /** Takes back what was recorded of a stream, as its version is no longer certain. */
  revokeBegin(request: RequestId): void {
    this.#options.streamOrigins.forget(request);
  }

  /**
   * Finds out where a stream began. `servicesNow` returns the services at which it can have
   * begun as far as this router knows by then; `begunBy` is the request that began it, if
   * the caller names it.
   */
  async originOf(
    servicesNow: () => StreamServices,
    begunBy: RequestId | undefined,
  ): Promise<OriginFinding> {
    const services = servicesNow();
    const key = begunBy && keyOfStream(begunBy);
    const origin =
      key && completed(this.#options.streamOrigins.sourceOf(key), services);
    if (origin) {
      return { origin, evidence: 'memory', history: undefined };
    }
    if (services.areSeveral) {
      // Another router may have begun it by a newer configuration.
      const stored = await this.#storedOrigin(key, services);
      return stored.origin ? stored : this.#onlyOrigin(servicesNow);
    }
    const only = await this.#onlyOrigin(servicesNow);
    if (only.origin) {
      return only;
    }
    const stored = await this.#storedOrigin(key, servicesNow());
    return { ...stored, history: only.history };
  }

  /** The origin that every stream has which can be meant, by the routes that the store holds now. */
  async #onlyOrigin(servicesNow: () => StreamServices): Promise<OriginFinding> {
    if (servicesNow().only === undefined) {
      return NOTHING;
    }
    const { endpointConfirmation, versionHistory, timers } = this.#options;
    const evidence = await withTimeout(
      endpointConfirmation.confirm(),
      timers,
      MAX_CONFIRMATION_TIME,
    );
    const { only } = servicesNow();
    if (only === undefined) {
      return NOTHING;
    }
    const history = versionHistory.versionOfStreams(only, timers.now());
    if (!evidence || history.kind !== 'single') {
      return { ...NOTHING, history: history.kind };
    }
    const origin = { service: only, version: history.version };
    return { origin, evidence, history: history.kind };
  }

  async #storedOrigin(
    key: StreamKey | undefined,
    services: StreamServices,
  ): Promise<OriginFinding> {
    const { streamLedger, timers } = this.#options;
    const source =
      key &&
      (await withTimeout(streamLedger.sourceOf(key), timers, MAX_LOOKUP_TIME));
    const origin = completed(source, services);
    return origin
      ? { origin, evidence: 'ledger', history: undefined }
      : NOTHING;
  }
}

/** An origin without a service tells enough only if its route leads to one service. */
function completed(
  source: StreamSource | undefined,
  { only, areSeveral }: StreamServices,
): KnownOrigin | undefined {
  if (source?.version === undefined) {
    return undefined;
  }
  const service = source.service ?? (areSeveral ? undefined : only);
  return service && { service, version: source.version };
}
