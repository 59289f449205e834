/**
 * Finds out at which service and software version a stream began that a caller resumes,
 * as only endpoints of that service and version can continue it.
 */
import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { RouterDirectory } from '@sesamegrade/core/peers/router-directory';
import type { StreamServices } from '@sesamegrade/core/routes/route-history';
import { keyOfStream } from '@sesamegrade/core/software-versions/stream-origins';
import type {
  StreamOrigins,
  StreamSource,
} from '@sesamegrade/core/software-versions/stream-origins';
import type { VersionHistory } from '@sesamegrade/core/software-versions/version-history';
import type {
  Cancel,
  TimerService,
} from '@sesamegrade/core/time/timer-service';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type {
  RequestId,
  ServiceId,
  SoftwareVersion,
} from '@sesamegrade/core/types/ids';
import type { PeerMesh } from '../peers/peer-mesh';
import type { EndpointConfirmation } from '../store/endpoint-confirmation';
import type { StreamLedger } from './stream-ledger';

/** Time after which the store's answer to the read of the endpoints is not waited for. */
const MAX_CONFIRMATION_TIME: Milliseconds = milliseconds(200);
/** The same for the rows with the origins of streams, which are read twice. */
const MAX_LOOKUP_TIME: Milliseconds = milliseconds(600);

export interface StreamResumptionOptions {
  readonly endpointConfirmation: Pick<EndpointConfirmation, 'confirm'>;
  readonly routerDirectory: Pick<RouterDirectory, 'fleetSize'>;
  readonly peerMesh: Pick<PeerMesh, 'connectedCount'>;
  readonly endpointDirectory: Pick<EndpointDirectory, 'all'>;
  readonly versionHistory: VersionHistory;
  readonly streamOrigins: StreamOrigins;
  readonly streamLedger: StreamLedger;
  readonly timers: TimerService;
}

export interface KnownOrigin {
  readonly service: ServiceId;
  readonly version: SoftwareVersion;
}

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
  ): void {
    if (version !== undefined) {
      const { streamOrigins, streamLedger, timers } = this.#options;
      streamOrigins.begin(request, service, version, timers.now());
      streamLedger.onBegun(service);
    }
  }

  /** Takes back what was recorded of a stream, as its version is no longer certain. */
  revokeBegin(request: RequestId): void {
    this.#options.streamOrigins.forget(request);
  }

  /**
   * Returns where a stream began; undefined if that is not known. `begunBy` is the
   * request that began it, if the caller names it.
   */
  async originOf(
    services: StreamServices,
    begunBy: RequestId | undefined,
  ): Promise<KnownOrigin | undefined> {
    const { streamOrigins, streamLedger } = this.#options;
    const key = begunBy && keyOfStream(begunBy);
    const known = key && completed(streamOrigins.sourceOf(key), services);
    if (known) {
      return known;
    }
    const look = async () => {
      const found = key && streamLedger.sourceOf(key);
      return (
        found && completed(await this.#within(MAX_LOOKUP_TIME, found), services)
      );
    };
    if (services.areSeveral) {
      // Another router may have begun it by a newer configuration.
      return (await look()) ?? this.#onlyOrigin(services);
    }
    return (await this.#onlyOrigin(services)) ?? look();
  }

  /** The origin that every stream has which can be meant. */
  async #onlyOrigin({
    only,
  }: StreamServices): Promise<KnownOrigin | undefined> {
    const { versionHistory, endpointDirectory, timers } = this.#options;
    if (only === undefined || !(await this.#isUpToDate())) {
      return undefined;
    }
    const now = timers.now();
    versionHistory.observe(endpointDirectory.all(), now);
    const version = versionHistory.versionOfStreams(only, now);
    return version.kind === 'single'
      ? { service: only, version: version.version }
      : undefined;
  }

  /**
   * Whether this router knows the endpoints of each version that others already use.
   * While the store does not answer, peers have passed on all that they know.
   */
  async #isUpToDate(): Promise<boolean> {
    const { endpointConfirmation, routerDirectory, peerMesh } = this.#options;
    const confirmed = endpointConfirmation.confirm();
    if (await this.#within(MAX_CONFIRMATION_TIME, confirmed)) {
      return true;
    }
    return routerDirectory.fleetSize > 1 && peerMesh.connectedCount > 0;
  }

  /** Resolves with undefined if the promise takes longer. */
  async #within<Value>(
    limit: Milliseconds,
    promise: Promise<Value>,
  ): Promise<Value | undefined> {
    let cancel: Cancel = () => undefined;
    const timeout = new Promise<undefined>(resolve => {
      cancel = this.#options.timers.after(limit, () => {
        resolve(undefined);
      });
    });
    try {
      return await Promise.race([promise, timeout]);
    } finally {
      cancel();
    }
  }
}

/** An origin without a service tells enough only if its route leads to one service. */
function completed(
  source: StreamSource | undefined,
  { only, areSeveral }: StreamServices,
): KnownOrigin | undefined {
  if (!source) {
    return undefined;
  }
  const service = source.service ?? (areSeveral ? undefined : only);
  return service && { service, version: source.version };
}
