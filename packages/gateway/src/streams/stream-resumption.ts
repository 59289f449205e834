/**
 * Finds out at which software version a stream began that a caller resumes, as only
 * endpoints of that version can continue it.
 */
import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { RouterDirectory } from '@sesamegrade/core/peers/router-directory';
import { keyOfStream } from '@sesamegrade/core/software-versions/stream-origins';
import type { StreamOrigins } from '@sesamegrade/core/software-versions/stream-origins';
import type {
  StreamVersion,
  VersionHistory,
} from '@sesamegrade/core/software-versions/version-history';
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

/** What tells at which version a stream began. */
export type OriginEvidence =
  /** This router relayed the stream, or was told of it. */
  | 'memory'
  /** The service had one version, as of a read of the store that followed the request. */
  | 'store'
  /** The service had one version as far as this router knows, and a peer is connected. */
  | 'connected-peer'
  /** The stream is among those that are stored. */
  | 'ledger';

export interface OriginFinding {
  /** Undefined if nothing tells at which version the stream began. */
  readonly version: SoftwareVersion | undefined;
  readonly evidence: OriginEvidence | undefined;
  /** What this router knows of the service's versions; undefined if it was not needed. */
  readonly history: StreamVersion['kind'] | undefined;
}

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
      const { streamOrigins, streamLedger, timers } = this.#options;
      streamOrigins.begin(request, service, version, timers.now());
      streamLedger.onBegun(service);
    }
  }

  /**
   * Finds out at which version a stream began. `begunBy` is the request that began it,
   * if the caller names it.
   */
  async originOf(
    service: ServiceId,
    begunBy: RequestId | undefined,
  ): Promise<OriginFinding> {
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
      return { version: known, evidence: 'memory', history: undefined };
    }
    const evidence = await this.#confirmEndpoints();
    const now = timers.now();
    versionHistory.observe(endpointDirectory.all(), now);
    const history = versionHistory.versionOfStreams(service, now);
    if (evidence && history.kind === 'single') {
      return { version: history.version, evidence, history: history.kind };
    }
    const stored =
      key && (await this.#within(MAX_LOOKUP_TIME, streamLedger.versionOf(key)));
    return {
      version: stored,
      evidence: stored && 'ledger',
      history: history.kind,
    };
  }

  /**
   * Makes sure that this router knows the endpoints of each version that others already
   * use. While the store does not answer, peers have passed on all that they know.
   */
  async #confirmEndpoints(): Promise<OriginEvidence | undefined> {
    const { endpointConfirmation, routerDirectory, peerMesh } = this.#options;
    const confirmed = endpointConfirmation.confirm();
    if (await this.#within(MAX_CONFIRMATION_TIME, confirmed)) {
      return 'store';
    }
    return routerDirectory.fleetSize > 1 && peerMesh.connectedCount > 0
      ? 'connected-peer'
      : undefined;
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
