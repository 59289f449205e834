/**
 * Keeps one request's stream whole: all of its events come from one software version, which is
 * recorded with the first event, so that the stream can be continued and resumed.
 */
import type { AttemptResult } from '@sesamegrade/core/forwarding/attempt-result';
import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import { StreamBinding } from '@sesamegrade/core/software-versions/stream-binding';
import { longestCallerTime } from '@sesamegrade/core/software-versions/stream-lifetime';
import type {
  RequestId,
  ServiceId,
  SoftwareVersion,
} from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { RequestHead } from '../callers/caller-protocol';
import type { Attempt } from '../endpoints/attempt';
import { StreamRecording } from '../streams/stream-recording';
import type { StreamRecordingOptions } from '../streams/stream-recording';
import type { StreamResumption } from '../streams/stream-resumption';
import { StreamProcessCheck } from './stream-process-check';
import type { StreamProcessCheckOptions } from './stream-process-check';

/** Time by which a caller may wait for longer than the routes allow for. */
const CALLER_TIME_TOLERANCE: Milliseconds = milliseconds(500);

export interface StreamGuardOptions
  extends StreamRecordingOptions, StreamProcessCheckOptions {
  readonly endpointDirectory: EndpointDirectory;
  readonly streamResumption: StreamResumption;
  /** Longest time from the begin of a stream to its last resumption. */
  readonly streamLifetime: () => Milliseconds;
}

export interface GuardedRequest {
  readonly head: RequestHead;
  readonly service: ServiceId;
  /** Whether the request begins or resumes a stream that may go on at another endpoint. */
  readonly isResumable: boolean;
  /** The version of the stream that the caller resumes; undefined if it begins one. */
  readonly origin:
    { readonly version: SoftwareVersion | undefined } | undefined;
}

export class StreamGuard {
  readonly #options: StreamGuardOptions;
  readonly #request: GuardedRequest;
  readonly #binding = new StreamBinding();
  readonly #processCheck: StreamProcessCheck;
  /** Undefined if the stream cannot be resumed. */
  readonly #recording: StreamRecording | undefined;

  constructor(options: StreamGuardOptions, request: GuardedRequest) {
    this.#options = options;
    this.#request = request;
    const { head, service, isResumable, origin } = request;
    if (origin) {
      this.#binding.bind(origin.version);
    }
    this.#processCheck = new StreamProcessCheck(options, head.requestId);
    this.#recording = isResumable
      ? new StreamRecording(options, {
          request: head.requestId,
          service,
          isResumption: origin !== undefined,
          hasLongCaller: exceeds(
            head.callerTimeout,
            longestCallerTime(options.streamLifetime()),
          ),
        })
      : undefined;
  }

  /** Whether the next attempt begins a stream that may be resumed later. */
  get beginsStream(): boolean {
    return this.#request.isResumable && !this.#binding.isBound;
  }

  /** Whether an endpoint can run an attempt of the request. */
  accepts(entry: EndpointEntry): boolean {
    return this.#binding.accepts(entry);
  }

  /** Begins to record where the stream begins, as an attempt is sent to an endpoint. */
  announce(entry: EndpointEntry): void {
    this.#recording?.announce(this.#versionOf(entry));
  }

  /** Whether events of an endpoint can belong to the stream: it may have restarted with another version. */
  canHaveSent({ id }: EndpointEntry): boolean {
    const current = this.#options.endpointDirectory.get(id);
    return !current || this.#binding.accepts(current);
  }

  /**
   * Whether the first event of an attempt may be passed on. Resolves with false if it must
   * not be, which ends the attempt.
   */
  mayPassOn(
    entry: EndpointEntry,
    attempt: Attempt,
    hasEvents: boolean,
  ): true | Promise<boolean> {
    const isSent = this.#hasSent(entry, attempt);
    const isAdmitted = hasEvents || this.#admit(entry, attempt);
    return (
      (isSent === true && isAdmitted === true) ||
      Promise.all([isSent, isAdmitted]).then(verdicts =>
        verdicts.every(Boolean),
      )
    );
  }

  /** The first event decides which endpoints can continue the stream. */
  onBegun(entry: EndpointEntry): void {
    const recording = this.#recording;
    if (!recording) {
      return;
    }
    this.#binding.bind(this.#versionOf(entry));
    const { version } = this.#binding;
    if (version === undefined) {
      return;
    }
    const { head, service } = this.#request;
    const endpoint = entry.id;
    for (const request of namesOfStream(head)) {
      const record = request === head.requestId ? recording.record : {};
      this.#options.streamResumption.recordBegin({
        request,
        service,
        version,
        endpoint,
        ...record,
      });
    }
  }

  /** Checks who sent the events of an attempt that has ended, as others may continue the stream. */
  onAttemptEnd(
    entry: EndpointEntry,
    { establishedAt }: Attempt,
    { kind }: AttemptResult,
  ): void {
    if (!this.canHaveSent(entry)) {
      this.#revoke();
    }
    const isOver = kind === 'delivered' || this.#binding.version === undefined;
    if (!isOver) {
      this.#processCheck.afterAttempt({ entry, establishedAt }, () => {
        this.#revoke();
      });
    }
  }

  /** Whether a stream may begin with an event of an endpoint; resolves with false if it has ended the attempt. */
  #admit(entry: EndpointEntry, attempt: Attempt): true | Promise<boolean> {
    const recording = this.#recording;
    return (
      !recording ||
      recording.isAdmitted(this.#versionOf(entry)) ||
      this.#admitRecorded(recording, entry, attempt)
    );
  }

  async #admitRecorded(
    recording: StreamRecording,
    entry: EndpointEntry,
    attempt: Attempt,
  ): Promise<boolean> {
    const version = this.#versionOf(entry);
    const isAdmitted =
      (await recording.admit(version)) &&
      (!recording.isTakenForSuccessor ||
        (await this.#processCheck.isSame({
          entry,
          establishedAt: attempt.establishedAt,
        })));
    if (attempt.hasEnded) {
      return false;
    }
    if (isAdmitted && this.#versionOf(entry) === version) {
      return true;
    }
    attempt.abort({ kind: 'withdrawn' });
    return false;
  }

  /** The version of the endpoint that was chosen; undefined if it has changed since. */
  #versionOf({
    id,
    softwareVersion,
  }: EndpointEntry): SoftwareVersion | undefined {
    const current = this.#options.endpointDirectory.get(id);
    if (!current || softwareVersion === undefined) {
      return softwareVersion ?? current?.softwareVersion;
    }
    return current.softwareVersion === softwareVersion
      ? softwareVersion
      : undefined;
  }

  #revoke(): void {
    this.#binding.revoke();
    for (const id of namesOfStream(this.#request.head)) {
      this.#options.streamResumption.revokeBegin(id);
    }
  }

  /**
   * Whether the process of the endpoint's entry has sent the first event of an attempt, as
   * far as can be found out; if it has not, the attempt is withdrawn.
   */
  #hasSent(entry: EndpointEntry, attempt: Attempt): true | Promise<boolean> {
    if (!this.#request.isResumable) {
      return true;
    }
    const connection = { entry, establishedAt: attempt.establishedAt };
    const verdict = this.#binding.isBound
      ? this.#processCheck.mayContinue(connection)
      : this.#processCheck.mayBegin(connection);
    return (
      verdict === true ||
      verdict.then(isSame => {
        if (isSame && this.canHaveSent(entry)) {
          return !attempt.hasEnded;
        }
        attempt.abort({ kind: 'withdrawn' });
        return false;
      })
    );
  }
}

function exceeds(time: Milliseconds | undefined, limit: Milliseconds): boolean {
  return time !== undefined && time > limit + CALLER_TIME_TOLERANCE;
}

/** Whether the caller has events of the stream already. */
export function isResumption({ lastEventId }: RequestHead): boolean {
  return lastEventId !== undefined && lastEventId > 0;
}

/** The requests by which a caller may name the stream when it resumes it. */
function namesOfStream(head: RequestHead): RequestId[] {
  const { requestId, begunBy } = head;
  return begunBy !== undefined && isResumption(head)
    ? [begunBy, requestId]
    : [requestId];
}
