/**
 * Relays the responses of one request's attempts to its caller; a stream may
 * continue over several attempts.
 */
import { EventSplitter } from '@sesamegrade/core/forwarding/event-splitter';
import type { AttemptResult } from '@sesamegrade/core/forwarding/attempt-result';
import type { CallerExchange } from '../callers/caller-exchange';
import type { HeaderList } from '../callers/caller-protocol';
import { ResponseSink } from '../endpoints/attempt';
import type { BodyFraming, ResponseHead } from '../endpoints/endpoint-protocol';

/**
 * Responses up to this size are buffered until they are complete, so that the
 * request can still be retried.
 */
const MAX_BUFFERED_BYTES = 1_048_576;
const STATUS_OK = 200;

/** A complete response that has not been passed on yet; the request may be retried instead. */
export interface BufferedResponse {
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: Buffer;
  readonly length: number;
  readonly framing: BodyFraming;
}

export interface ResponseRelayOptions {
  readonly exchange: CallerExchange;
  /** Resumes reading from the endpoint of the running attempt. */
  readonly resume: () => void;
  /** Aborts the running attempt with the given result. */
  readonly abort: (result: AttemptResult) => void;
  /** Called when the first event of each attempt arrives. */
  readonly onFirstAttemptEvent: () => void;
  /** Called when the first event of the request is sent to the caller. */
  readonly onFirstEvent: () => void;
  readonly isStream: boolean;
  /** Id of the last event that the caller received of an earlier response. */
  readonly lastEventId: number | undefined;
}

export class ResponseRelay {
  readonly #options: ResponseRelayOptions;
  #bufferedResponse: BufferedResponse | undefined;
  #lastEventId: number | undefined;
  #eventCount = 0;
  #sink: RelayingSink | undefined;

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

  /** Bytes of the event within which the last attempt's response ended; 0 at an event boundary. */
  get partialEventBytes(): number {
    return this.#sink?.partialEventBytes ?? 0;
  }

  /** Creates the sink of the next attempt. */
  sink(): ResponseSink {
    this.#sink = new RelayingSink(this, this.#options);
    return this.#sink;
  }

  /** Stores a complete response until it is decided whether it is passed on. */
  buffer(response: BufferedResponse): void {
    this.#bufferedResponse = response;
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

class RelayingSink extends ResponseSink {
  readonly #relay: ResponseRelay;
  readonly #options: ResponseRelayOptions;
  readonly #splitter = new EventSplitter();
  readonly #chunks: Buffer[] = [];
  #bufferedBytes = 0;
  #mode: 'buffer' | 'stream' | 'passthrough' = 'buffer';
  #isFirstEventChecked = false;
  #head: ResponseHead | undefined;

  constructor(relay: ResponseRelay, options: ResponseRelayOptions) {
    super();
    this.#relay = relay;
    this.#options = options;
  }

  get partialEventBytes(): number {
    return this.#splitter.tail.length;
  }

  override onHead(head: ResponseHead): void {
    const { exchange, isStream } = this.#options;
    if (isStream && head.status === STATUS_OK) {
      this.#mode = 'stream';
      // The head is sent with the first event: an attempt without events must
      // leave the response unstarted.
      this.#head = head;
      return;
    }
    if (exchange.hasResponseStarted) {
      this.#options.abort({ kind: 'broken', breakage: 'malformed' });
    }
    this.#head = head;
  }

  override onData(chunk: Buffer): boolean {
    if (this.#mode === 'stream') {
      return this.#onEvents(chunk);
    }
    if (this.#mode === 'passthrough') {
      return this.#write(chunk);
    }
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.length;
    return (
      this.#bufferedBytes <= MAX_BUFFERED_BYTES || this.#startPassthrough()
    );
  }

  override onComplete(head: ResponseHead): AttemptResult {
    const { exchange } = this.#options;
    if (this.#mode === 'stream') {
      return this.#endStream(head);
    }
    if (this.#mode === 'passthrough') {
      exchange.end();
      return { kind: 'delivered', status: head.status };
    }
    const body = Buffer.concat(this.#chunks);
    const length = head.length ?? body.length;
    this.#relay.buffer({
      status: head.status,
      headers: head.headers,
      body,
      length,
      framing: head.framing,
    });
    return { kind: 'answered', status: head.status };
  }

  #endStream(head: ResponseHead): AttemptResult {
    const { exchange } = this.#options;
    const { tail } = this.#splitter;
    if (this.#relay.events === 0 && !exchange.hasResponseStarted) {
      exchange.startResponse(head.status, head.headers);
    }
    if (tail.length > 0) {
      exchange.write(tail);
    }
    exchange.end();
    return { kind: 'delivered', status: head.status };
  }

  #onEvents(chunk: Buffer): boolean {
    const { exchange } = this.#options;
    const { bytes, count, firstId, lastId } = this.#splitter.feed(chunk);
    if (count === 0) {
      return true;
    }
    if (!this.#isFirstEventChecked && !this.#isContinuation(firstId)) {
      this.#options.abort({ kind: 'broken', breakage: 'event-order' });
      return true;
    }
    if (!this.#isFirstEventChecked) {
      this.#isFirstEventChecked = true;
      this.#options.onFirstAttemptEvent();
    }
    if (!exchange.hasResponseStarted && this.#head) {
      exchange.startResponse(this.#head.status, this.#head.headers);
    }
    const written = this.#write(bytes);
    this.#relay.recordDelivery(count, lastId);
    return written;
  }

  /** Whether the first event of a resumed stream directly follows the caller's last one. */
  #isContinuation(firstId: number | undefined): boolean {
    const { lastEventId, events } = this.#relay;
    if (events === 0) {
      return true;
    }
    return (
      firstId !== undefined &&
      lastEventId !== undefined &&
      firstId === lastEventId + 1
    );
  }

  /** Sends a response that is too large to buffer as it arrives. */
  #startPassthrough(): boolean {
    const { exchange } = this.#options;
    this.#mode = 'passthrough';
    if (this.#head) {
      exchange.startResponse(this.#head.status, this.#head.headers);
    }
    return this.#write(Buffer.concat(this.#chunks.splice(0)));
  }

  #write(bytes: Uint8Array): boolean {
    const { exchange, resume } = this.#options;
    if (exchange.write(bytes)) {
      return true;
    }
    exchange.onDrain(resume);
    return false;
  }
}
