/**
 * Finds out at which software version a stream began that a caller resumes, as only
 * endpoints of that version can continue it.
 */
import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { RouterDirectory } from '@sesamegrade/core/peers/router-directory';
import { keyOfStream } from '@sesamegrade/core/software-versions/stream-origins';
import type { StreamOrigins } from '@sesamegrade/core/software-versions/stream-origins';
import type { VersionHistory } from '@sesamegrade/core/software-versions/version-history';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type {
  RequestId,
  ServiceId,
  SoftwareVersion,
} from '@sesamegrade/core/types/ids';
import type { PeerMesh } from '../peers/peer-mesh';
import type { EndpointConfirmation } from '../store/endpoint-confirmation';
import type { StreamLedger } from './stream-ledger';

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
      const { streamOrigins, timers } = this.#options;
      streamOrigins.begin(request, service, version, timers.now());
    }
  }

  /**
   * Returns the version at which a stream began; undefined if that is not known.
   * `begunBy` is the request that began it, if the caller names it.
   */
  async versionOf(
    service: ServiceId,
    begunBy: RequestId | undefined,
  ): Promise<SoftwareVersion | undefined> {
    const {
      streamOrigins,
      streamLedger,
      versionHistory,
      endpointDirectory,
      timers,
    } = this.#options;
    const key = begunBy && keyOfStream(begunBy);
    const known = key && streamOrigins.versionOf(key);
    if (known !== undefined) {
      return known;
    }
    if (await this.#isUpToDate()) {
      const now = timers.now();
      versionHistory.observe(endpointDirectory.all(), now);
      const version = versionHistory.versionOfStreams(service, now);
      if (version.kind === 'single') {
        return version.version;
      }
    }
    return key && streamLedger.versionOf(key);
  }

  /**
   * Whether this router knows the endpoints of each version that others already use.
   * While the store does not answer, peers have passed on all that they know.
   */
  async #isUpToDate(): Promise<boolean> {
    const { endpointConfirmation, routerDirectory, peerMesh } = this.#options;
    if (await endpointConfirmation.confirm()) {
      return true;
    }
    return routerDirectory.fleetSize > 1 && peerMesh.connectedCount > 0;
  }
}
