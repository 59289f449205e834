/**
 * Finds out at which software version a stream began that a caller resumes, as only
 * endpoints of that version can continue it.
 */
import { keyOfStream } from '@sesamegrade/core/software-versions/stream-origins';
import type { StreamOrigins } from '@sesamegrade/core/software-versions/stream-origins';
import type {
  StreamVersion,
  VersionHistory,
} from '@sesamegrade/core/software-versions/version-history';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { withTimeout } from '@sesamegrade/core/time/with-timeout';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type {
  RequestId,
  ServiceId,
  SoftwareVersion,
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

/** What tells at which version a stream began. */
export type OriginEvidence =
  /** This router relayed the stream, or was told of it. */
  | 'memory'
  /** The service had one version, as of a read of the store that followed the request. */
  | EndpointEvidence
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
      endpointConfirmation,
      timers,
    } = this.#options;
    const key = begunBy && keyOfStream(begunBy);
    const known = key && streamOrigins.versionOf(key);
    if (known !== undefined) {
      return { version: known, evidence: 'memory', history: undefined };
    }
    const evidence = await withTimeout(
      endpointConfirmation.confirm(),
      timers,
      MAX_CONFIRMATION_TIME,
    );
    const history = versionHistory.versionOfStreams(service, timers.now());
    if (evidence && history.kind === 'single') {
      return { version: history.version, evidence, history: history.kind };
    }
    const stored =
      key &&
      (await withTimeout(streamLedger.versionOf(key), timers, MAX_LOOKUP_TIME));
    return {
      version: stored,
      evidence: stored && 'ledger',
      history: history.kind,
    };
  }
}
