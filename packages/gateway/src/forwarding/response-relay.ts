/** Passes the answers of endpoints on to a caller, over as many attempts as it takes. */
import { EventSplitter } from '@sesamegrade/core/forwarding/event-splitter';
import type { AttemptEnd } from '@sesamegrade/core/forwarding/attempt-end';
import type { CallerExchange } from '../callers/caller-exchange';
import type { HeaderList } from '../callers/caller-protocol';
import { ResponseSink } from '../endpoints/attempt';
import type { ResponseHead } from '../endpoints/endpoint-protocol';

/** Largest whole answer that is held back until its end, so that it may be asked for again. */
const MAX_HELD_BYTES = 1_048_576;
const STATUS_OK = 200;

/** A whole answer that waits for the decision whether it is the caller's. */
export interface BufferedResponse {
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: Buffer;
  readonly length: number;
  /** Whether the end of the body showed only in the end of the connection. */
  readonly isUnframed: boolean;
}

export interface ResponseRelayOptions {
  readonly exchange: CallerExchange;
  /** Pauses or resumes the endpoint's side of the running attempt. */
  readonly resume: () => void;
  readonly abort: (end: AttemptEnd) => void;
  /** Called when the first event of an attempt arrives. */
  readonly onFirstAttemptEvent: () => void;
  /** Called when the first event goes out. */
  readonly onFirstEvent: () => void;
  readonly isStream: boolean;
  /** Number of the last event that the caller has. */
  readonly lastEventId: number | undefined;
}

export class ResponseRelay {
  readonly #options: ResponseRelayOptions;
  #held: BufferedResponse | undefined;
  #lastEvent: number | undefined;
  #events = 0;

  constructor(options: ResponseRelayOptions) {
    this.#options = options;
    this.#lastEvent = options.lastEventId;
  }

  /** The last whole answer that was not passed on. */
  get bufferedResponse(): BufferedResponse | undefined {
    return this.#held;
  }

  get lastEventId(): number | undefined {
    return this.#lastEvent;
  }

  /** Whole events that went to the caller. */
  get events(): number {
    return this.#events;
  }

  /** Makes the sink of the next attempt. */
  sink(): ResponseSink {
    return new RelaySink(this, this.#options);
  }

  buffer(held: BufferedResponse): void {
    this.#held = held;
  }

  /** Notes events that went out. */
  recordDelivery(count: number, lastId: number | undefined): void {
    if (this.#events === 0 && count > 0) {
      this.#options.onFirstEvent();
    }
    this.#events += count;
    this.#lastEvent = lastId ?? this.#lastEvent;
  }
}

class RelaySink extends ResponseSink {
  readonly #relay: ResponseRelay;
  readonly #options: ResponseRelayOptions;
  readonly #splitter = new EventSplitter();
  readonly #chunks: Buffer[] = [];
  #size = 0;
  #mode: 'hold' | 'stream' | 'through' = 'hold';
  #checkedFirst = false;
  #head: ResponseHead | undefined;

  constructor(relay: ResponseRelay, options: ResponseRelayOptions) {
    super();
    this.#relay = relay;
    this.#options = options;
  }

  override onHead(head: ResponseHead): void {
    const { exchange, isStream } = this.#options;
    if (isStream && head.status === STATUS_OK) {
      this.#mode = 'stream';
      // Headers go out with the first event, as an attempt without one leaves no trace.
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
      return this.#events(chunk);
    }
    if (this.#mode === 'through') {
      return this.#write(chunk);
    }
    this.#chunks.push(chunk);
    this.#size += chunk.length;
    return this.#size <= MAX_HELD_BYTES || this.#beginThrough();
  }

  override onComplete(head: ResponseHead): AttemptEnd {
    const { exchange } = this.#options;
    if (this.#mode === 'stream') {
      return this.#endStream(head);
    }
    if (this.#mode === 'through') {
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
      isUnframed: head.isUnframed,
    });
    return { kind: 'answered', status: head.status };
  }

  #endStream(head: ResponseHead): AttemptEnd {
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

  #events(chunk: Buffer): boolean {
    const { exchange } = this.#options;
    const { bytes, count, firstId, lastId } = this.#splitter.feed(chunk);
    if (count === 0) {
      return true;
    }
    if (!this.#checkedFirst && !this.#continues(firstId)) {
      this.#options.abort({ kind: 'broken', breakage: 'event-order' });
      return true;
    }
    if (!this.#checkedFirst) {
      this.#checkedFirst = true;
      this.#options.onFirstAttemptEvent();
    }
    if (!exchange.hasResponseStarted && this.#head) {
      exchange.startResponse(this.#head.status, this.#head.headers);
    }
    const written = this.#write(bytes);
    this.#relay.recordDelivery(count, lastId);
    return written;
  }

  /** Whether a stream that goes on does so right after the caller's last event. */
  #continues(firstId: number | undefined): boolean {
    const { lastEventId: lastEvent, events } = this.#relay;
    if (events === 0) {
      return true;
    }
    return (
      firstId !== undefined &&
      lastEvent !== undefined &&
      firstId === lastEvent + 1
    );
  }

  /** The answer is too large to be held; it goes on as it comes. */
  #beginThrough(): boolean {
    const { exchange } = this.#options;
    this.#mode = 'through';
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
