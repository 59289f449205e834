/** Passes the answers of endpoints on to a caller, over as many attempts as it takes. */
import { EventSplitter } from '@sesamegrade/core/forwarding/event-splitter';
import type { AttemptResult } from '@sesamegrade/core/forwarding/attempt-result';
import type { CallerExchange } from '../callers/caller-exchange';
import type { HeaderList } from '../callers/caller-protocol';
import { AnswerSink } from '../endpoints/attempt';
import type { AnswerHead } from '../endpoints/endpoint-protocol';

/** Largest whole answer that is held back until its end, so that it may be asked for again. */
const MAX_HELD_BYTES = 1_048_576;
const STATUS_OK = 200;

/** A whole answer that waits for the decision whether it is the caller's. */
export interface HeldAnswer {
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: Buffer;
  readonly length: number;
  /** Whether the end of the body showed only in the end of the connection. */
  readonly isUnframed: boolean;
}

export interface RelayOptions {
  readonly exchange: CallerExchange;
  /** Pauses or resumes the endpoint's side of the running attempt. */
  readonly resume: () => void;
  readonly abort: (end: AttemptResult) => void;
  /** Called when the first event of an attempt arrives. */
  readonly onAttemptEvent: () => void;
  /** Called when the first event goes out. */
  readonly onFirstEvent: () => void;
  readonly isStream: boolean;
  /** Number of the last event that the caller has. */
  readonly lastEvent: number | undefined;
}

export class AnswerRelay {
  readonly #options: RelayOptions;
  #held: HeldAnswer | undefined;
  #lastEvent: number | undefined;
  #events = 0;

  constructor(options: RelayOptions) {
    this.#options = options;
    this.#lastEvent = options.lastEvent;
  }

  /** The last whole answer that was not passed on. */
  get held(): HeldAnswer | undefined {
    return this.#held;
  }

  get lastEvent(): number | undefined {
    return this.#lastEvent;
  }

  /** Whole events that went to the caller. */
  get events(): number {
    return this.#events;
  }

  /** Makes the sink of the next attempt. */
  sink(): AnswerSink {
    return new RelaySink(this, this.#options);
  }

  hold(held: HeldAnswer): void {
    this.#held = held;
  }

  /** Notes events that went out. */
  delivered(count: number, lastId: number | undefined): void {
    if (this.#events === 0 && count > 0) {
      this.#options.onFirstEvent();
    }
    this.#events += count;
    this.#lastEvent = lastId ?? this.#lastEvent;
  }
}

class RelaySink extends AnswerSink {
  readonly #relay: AnswerRelay;
  readonly #options: RelayOptions;
  readonly #splitter = new EventSplitter();
  readonly #chunks: Buffer[] = [];
  #size = 0;
  #mode: 'hold' | 'stream' | 'through' = 'hold';
  #checkedFirst = false;
  #head: AnswerHead | undefined;

  constructor(relay: AnswerRelay, options: RelayOptions) {
    super();
    this.#relay = relay;
    this.#options = options;
  }

  override head(head: AnswerHead): void {
    const { exchange, isStream } = this.#options;
    if (isStream && head.status === STATUS_OK) {
      this.#mode = 'stream';
      // Headers go out with the first event, as an attempt without one leaves no trace.
      this.#head = head;
      return;
    }
    if (exchange.hasBegun) {
      this.#options.abort({ kind: 'broken', breakage: 'malformed' });
    }
    this.#head = head;
  }

  override data(chunk: Buffer): boolean {
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

  override whole(head: AnswerHead): AttemptResult {
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
    this.#relay.hold({
      status: head.status,
      headers: head.headers,
      body,
      length,
      isUnframed: head.isUnframed,
    });
    return { kind: 'answered', status: head.status };
  }

  #endStream(head: AnswerHead): AttemptResult {
    const { exchange } = this.#options;
    const { tail } = this.#splitter;
    if (this.#relay.events === 0 && !exchange.hasBegun) {
      exchange.begin(head.status, head.headers);
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
      this.#options.onAttemptEvent();
    }
    if (!exchange.hasBegun && this.#head) {
      exchange.begin(this.#head.status, this.#head.headers);
    }
    const written = this.#write(bytes);
    this.#relay.delivered(count, lastId);
    return written;
  }

  /** Whether a stream that goes on does so right after the caller's last event. */
  #continues(firstId: number | undefined): boolean {
    const { lastEvent, events } = this.#relay;
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
      exchange.begin(this.#head.status, this.#head.headers);
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
