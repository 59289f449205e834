/**
 * Relays the responses of one request's attempts to its caller; a stream may
 * continue over several attempts.
 */
import type { AttemptResult } from '@sesamegrade/core/forwarding/attempt-result';
import type { CallerExchange } from '../callers/caller-exchange';
import { ResponseSink } from '../endpoints/attempt';
import type { ResponseHead } from '../endpoints/endpoint-protocol';
import type { HeldBytes } from './response-memory';
import { EventStreamSink } from './event-stream-sink';
import { WholeResponseSink } from './whole-response-sink';

const STATUS_OK = 200;
const MIN_ERROR_STATUS = 400;

/** A complete response that has not been passed on yet; the request may be retried instead. */
export interface BufferedResponse {
  readonly head: ResponseHead;
  readonly body: Buffer;
}

/** What the relay asks and tells the attempt whose response it relays. */
export interface RelayedAttempt {
  /** Resumes reading from the endpoint. */
  readonly resume: () => void;
  /** Aborts the attempt with the given result. */
  readonly abort: (result: AttemptResult) => void;
  /** Whether the endpoint can still have sent events of this stream. */
  readonly isAccepted: () => boolean;
  /**
   * Called before the first event of the attempt is passed on. Resolves with false if it
   * must not be, as the attempt has ended or was aborted.
   */
  readonly admit: () => true | Promise<boolean>;
  /**
   * Called before a part of the response is passed on, so that no other attempt passes on
   * any more. Returns false if this one has ended.
   */
  readonly takeOver: () => boolean;
  /** Called when the first event of the attempt is passed on. */
  readonly onFirstAttemptEvent: () => void;
  /** Called with the number of events that were passed on. */
  readonly onEvents: (count: number) => void;
  /** Called when the first event of the request is sent to the caller. */
  readonly onFirstEvent: () => void;
}

export interface ResponseRelayOptions {
  readonly exchange: CallerExchange;
  readonly memory: HeldBytes;
  readonly isStream: boolean;
  /** Id of the last event that the caller received of an earlier response. */
  readonly lastEventId: number | undefined;
  /** Whether the caller resumes a stream of which it has events. */
  readonly isResumption: boolean;
}

export class ResponseRelay {
  readonly #options: ResponseRelayOptions;
  #bufferedResponse: BufferedResponse | undefined;
  #lastEventId: number | undefined;
  #eventCount = 0;
  readonly #sinks = new Set<ResponseSink>();

  constructor(options: ResponseRelayOptions) {
    this.#options = options;
    this.#lastEventId = options.lastEventId;
  }

  /** The last complete response that was not passed on. */
  get bufferedResponse(): BufferedResponse | undefined {
    return this.#bufferedResponse;
  }

  /** Id of the last event that the caller received. */
  get lastEventId(): number | undefined {
    return this.#lastEventId;
  }

  /** Number of complete events sent to the caller. */
  get events(): number {
    return this.#eventCount;
  }

  /** Bytes of the running attempts' responses that were received and not passed on. */
  get heldBytes(): number {
    let sum = 0;
    for (const { heldBytes } of this.#sinks) {
      sum += heldBytes;
    }
    return sum;
  }

  /** Whether the bytes of this request that the caller has not got may be held. */
  mayHold(): boolean {
    const { exchange, memory } = this.#options;
    const buffered = this.#bufferedResponse?.body.length ?? 0;
    return memory.set(this.heldBytes + buffered + exchange.unsentBytes);
  }

  /** Creates the sink of the next attempt. */
  sink(attempt: RelayedAttempt): ResponseSink {
    const sink = new RelayingSink(this, this.#options, attempt);
    this.#sinks.add(sink);
    return sink;
  }

  /** Forgets what the sink of an attempt that has ended still holds. */
  release(sink: ResponseSink): void {
    this.#sinks.delete(sink);
  }

  /** Stores a complete response until it is decided whether it is passed on. */
  buffer(response: BufferedResponse): void {
    this.#bufferedResponse = response;
  }

  /** Sends bytes to the caller; returns false to pause the endpoint until the caller has read them. */
  write(bytes: Uint8Array, resume: () => void): boolean {
    const { exchange } = this.#options;
    if (exchange.write(bytes)) {
      return true;
    }
    exchange.onDrain(resume);
    return false;
  }

  /** Records events that were sent to the caller. */
  recordDelivery(
    count: number,
    lastId: number | undefined,
    { onFirstEvent, onEvents }: RelayedAttempt,
  ): void {
    if (this.#eventCount === 0 && count > 0) {
      onFirstEvent();
    }
    onEvents(count);
    this.#eventCount += count;
    this.#lastEventId = lastId ?? this.#lastEventId;
  }
}

/** Whether a response is a success without events. */
function isOtherSuccess({ status }: ResponseHead): boolean {
  return status !== STATUS_OK && status < MIN_ERROR_STATUS;
}

/** Relays a response as events or as a whole, as its head decides. */
class RelayingSink extends ResponseSink {
  readonly #relay: ResponseRelay;
  readonly #options: ResponseRelayOptions;
  readonly #attempt: RelayedAttempt;
  #sink: ResponseSink;

  constructor(
    relay: ResponseRelay,
    options: ResponseRelayOptions,
    attempt: RelayedAttempt,
  ) {
    super();
    this.#relay = relay;
    this.#options = options;
    this.#attempt = attempt;
    this.#sink = new WholeResponseSink(relay, options, attempt);
  }

  override get heldBytes(): number {
    return this.#sink.heldBytes;
  }

  override onHead(head: ResponseHead): void {
    const { isStream, isResumption, exchange } = this.#options;
    if (isResumption && isOtherSuccess(head)) {
      // Callers would append it to the events that they have.
      this.#attempt.abort({ kind: 'broken', breakage: 'malformed' });
      return;
    }
    if (isStream && head.status === STATUS_OK && exchange.method !== 'HEAD') {
      this.#sink = new EventStreamSink(
        this.#relay,
        this.#options,
        this.#attempt,
      );
    }
    this.#sink.onHead(head);
  }

  override onData(chunk: Buffer): boolean {
    const isWritable = this.#sink.onData(chunk);
    return this.#relay.mayHold()
      ? isWritable
      : this.#sink.onMemoryFull() && isWritable;
  }

  override onMemoryFull(): boolean {
    return this.#sink.onMemoryFull();
  }

  override onComplete(
    head: ResponseHead,
  ): AttemptResult | Promise<AttemptResult> {
    return this.#sink.onComplete(head);
  }

  override finish(head: ResponseHead): AttemptResult {
    return this.#sink.finish(head);
  }
}
