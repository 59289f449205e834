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

export interface ResponseRelayOptions {
  readonly exchange: CallerExchange;
  readonly memory: HeldBytes;
  /** Resumes reading from the endpoint of the running attempt. */
  readonly resume: () => void;
  /** Aborts the running attempt with the given result. */
  readonly abort: (result: AttemptResult) => void;
  /** Whether the endpoint of the running attempt can still have sent events of this stream. */
  readonly isAccepted: () => boolean;
  /**
   * Called before the first event of each attempt is passed on. Resolves with false if it
   * must not be, as the attempt has ended or was aborted.
   */
  readonly admit: () => true | Promise<boolean>;
  /** Called when the first event of each attempt arrives. */
  readonly onFirstAttemptEvent: () => void;
  /** Called once an attempt has sent as many events as show that its content is sound. */
  readonly onSoundProgress: () => void;
  /** Called when the first event of the request is sent to the caller. */
  readonly onFirstEvent: () => void;
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
  #sink: ResponseSink | undefined;

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

  /** Bytes of the last attempt's response that were received and not passed on. */
  get heldBytes(): number {
    return this.#sink?.heldBytes ?? 0;
  }

  /** Whether the bytes of this request that the caller has not got may be held. */
  mayHold(): boolean {
    const { exchange, memory } = this.#options;
    const buffered = this.#bufferedResponse?.body.length ?? 0;
    return memory.set(this.heldBytes + buffered + exchange.unsentBytes);
  }

  /** Creates the sink of the next attempt. */
  sink(): ResponseSink {
    this.#sink = new RelayingSink(this, this.#options);
    return this.#sink;
  }

  /** Passes on the end of the last attempt's response. */
  finish(head: ResponseHead): AttemptResult {
    return this.#sink?.finish(head) ?? { kind: 'unproven-end' };
  }

  /** Stores a complete response until it is decided whether it is passed on. */
  buffer(response: BufferedResponse): void {
    this.#bufferedResponse = response;
  }

  /** Sends bytes to the caller; returns false to pause the endpoint until the caller has read them. */
  write(bytes: Uint8Array): boolean {
    const { exchange, resume } = this.#options;
    if (exchange.write(bytes)) {
      return true;
    }
    exchange.onDrain(resume);
    return false;
  }

  /** Records events that were sent to the caller. */
  recordDelivery(count: number, lastId: number | undefined): void {
    if (this.#eventCount === 0 && count > 0) {
      this.#options.onFirstEvent();
    }
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
  #sink: ResponseSink;

  constructor(relay: ResponseRelay, options: ResponseRelayOptions) {
    super();
    this.#relay = relay;
    this.#options = options;
    this.#sink = new WholeResponseSink(relay, options);
  }

  override get heldBytes(): number {
    return this.#sink.heldBytes;
  }

  override onHead(head: ResponseHead): void {
    const { isStream, isResumption, exchange, abort } = this.#options;
    if (isResumption && isOtherSuccess(head)) {
      // Callers would append it to the events that they have.
      abort({ kind: 'broken', breakage: 'malformed' });
      return;
    }
    if (isStream && head.status === STATUS_OK && exchange.method !== 'HEAD') {
      this.#sink = new EventStreamSink(this.#relay, this.#options);
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
