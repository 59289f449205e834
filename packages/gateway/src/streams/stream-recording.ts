/**
 * Has the origin of one request's stream recorded before its first event is passed on. The
 * record is begun when an attempt is sent, so that it is mostly there by then.
 */
import type { DefaultVersions } from '@sesamegrade/core/software-versions/default-versions';
import type { StreamBegin } from '@sesamegrade/core/software-versions/stream-origins';
import type { RouteHistory } from '@sesamegrade/core/routes/route-history';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type {
  RequestId,
  ServiceId,
  SoftwareVersion,
} from '@sesamegrade/core/types/ids';
import { keyOfStream } from './stream-key';
import type { StreamLedger } from './stream-ledger';

export interface StreamRecordingOptions {
  readonly streamLedger: Pick<StreamLedger, 'record'>;
  readonly defaultVersions: Pick<
    DefaultVersions,
    'needsNoRecord' | 'mayLackRecord' | 'has' | 'isSuccessor'
  >;
  readonly routeHistory: Pick<RouteHistory, 'isShared'>;
  readonly timers: TimerService;
}

/** A request that begins or resumes a stream. */
export interface RecordedRequest {
  readonly request: RequestId;
  readonly service: ServiceId;
  /** Whether the origin of its stream is known, so that its events are passed on also without a record. */
  readonly isResumption: boolean;
  /** Whether its caller waits for longer than any route lets a stream run. */
  readonly hasLongCaller?: boolean;
}

const NOT_STORED = Promise.resolve(false);

interface Announcement {
  readonly version: SoftwareVersion | undefined;
  /** Undefined if no record is needed. */
  readonly stored: Promise<boolean> | undefined;
}

export class StreamRecording {
  readonly #options: StreamRecordingOptions;
  readonly #recorded: RecordedRequest;
  #attempt = 0;
  /** Versions of which the store may have a record. */
  readonly #announced = new Set<SoftwareVersion | undefined>();
  #announcement: Announcement | undefined;
  #record: StreamBegin['record'] = 'not-needed';

  constructor(options: StreamRecordingOptions, recorded: RecordedRequest) {
    this.#options = options;
    this.#recorded = recorded;
  }

  /** Whether and how the origin is recorded that was admitted last. */
  get record(): Pick<StreamBegin, 'record' | 'attempt'> {
    return { record: this.#record, attempt: this.#attempt };
  }

  /** Begins to record an attempt at an endpoint of a version; undefined if it is not certain. */
  announce(version: SoftwareVersion | undefined): void {
    this.#attempt += 1;
    const { streamLedger } = this.#options;
    const { request, service } = this.#recorded;
    if (!this.#needsRecord(version)) {
      this.#announcement = { version, stored: undefined };
      this.#record = 'not-needed';
      return;
    }
    // Whether the store has a record that fails is not known, and the attempt may end unasked.
    const stored = streamLedger
      .record({
        key: keyOfStream(request),
        service,
        version,
        attempt: this.#attempt,
      })
      ?.catch(() => false);
    if (stored) {
      this.#announced.add(version);
    }
    this.#announcement = { version, stored: stored ?? NOT_STORED };
  }

  /** Resolves with whether the stream may begin at a version: its record is stored, or it can do without. */
  async admit(version: SoftwareVersion | undefined): Promise<boolean> {
    if (!this.#announcement || this.#announcement.version !== version) {
      this.announce(version);
    }
    const stored = this.#announcement?.stored;
    if (!stored) {
      return true;
    }
    const isStored = await stored;
    this.#record = isStored ? 'stored' : 'missing';
    return (
      isStored || this.#recorded.isResumption || this.#canDoWithout(version)
    );
  }

  /** Whether the stream that was admitted last may be taken for one of the version, as it has no record. */
  get isTakenForSuccessor(): boolean {
    const { service } = this.#recorded;
    return (
      this.#record === 'missing' &&
      this.#options.defaultVersions.isSuccessor(
        service,
        this.#announcement?.version,
      )
    );
  }

  /** Whether the stream may begin at once. */
  isAdmitted(version: SoftwareVersion | undefined): boolean {
    return (
      this.#announcement !== undefined &&
      this.#announcement.version === version &&
      this.#announcement.stored === undefined
    );
  }

  /**
   * A stream at the default version can, and one that is refused later rather than taken
   * for another version's. The record of an earlier attempt would count for it, though, also
   * if the store's response to that was lost.
   */
  #canDoWithout(version: SoftwareVersion | undefined): boolean {
    const { defaultVersions, timers } = this.#options;
    const { service } = this.#recorded;
    if ([...this.#announced].some(announced => announced !== version)) {
      return false;
    }
    return defaultVersions.mayLackRecord(service, version, timers.now());
  }

  /** A record of an earlier attempt would count for a later one that has none. */
  #needsRecord(version: SoftwareVersion | undefined): boolean {
    const { defaultVersions, routeHistory, timers } = this.#options;
    const { service } = this.#recorded;
    const now = timers.now();
    if (
      this.#announced.size > 0 ||
      this.#recorded.hasLongCaller === true ||
      routeHistory.isShared(service, now)
    ) {
      return true;
    }
    return version === undefined
      ? defaultVersions.has(service)
      : !defaultVersions.needsNoRecord(service, version, now);
  }
}
