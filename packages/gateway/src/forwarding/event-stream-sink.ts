/** Relays one attempt of a stream event by event, so that another attempt can continue it. */
import { EventSplitter } from '@sesamegrade/core/forwarding/event-splitter';
import type {
  AttemptFailure,
  AttemptResult,
} from '@sesamegrade/core/forwarding/attempt-result';
import { MIN_SOUND_EVENTS } from '@sesamegrade/core/poison/attempt-evidence';
import { ResponseSink } from '../endpoints/attempt';
import type { ResponseHead } from '../endpoints/endpoint-protocol';
import type { ResponseRelay, ResponseRelayOptions } from './response-relay';

/** Largest event of a stream. */
const MAX_EVENT_BYTES = 1_048_576;

export class EventStreamSink extends ResponseSink {
  readonly #relay: ResponseRelay;
  readonly #options: ResponseRelayOptions;
  readonly #splitter = new EventSplitter();
  #head: ResponseHead | undefined;
  #eventCount = 0;

  constructor(relay: ResponseRelay, options: ResponseRelayOptions) {
    super();
    this.#relay = relay;
    this.#options = options;
  }

  override get heldBytes(): number {
    return this.#splitter.tail.length;
  }

  override onHead(head: ResponseHead): void {
    // The head is sent with the first event: an attempt without events must
    // leave the response unstarted.
    this.#head = head;
  }

  override onData(chunk: Buffer): boolean {
    const { exchange } = this.#options;
    const { bytes, count, firstId, lastId } = this.#splitter.feed(chunk);
    if (this.heldBytes > MAX_EVENT_BYTES) {
      this.#options.abort({ kind: 'broken', breakage: 'malformed' });
      return true;
    }
    if (count === 0) {
      return true;
    }
    if (this.#eventCount === 0) {
      if (!this.#isContinuation(firstId)) {
        this.#options.abort({ kind: 'broken', breakage: 'event-order' });
        return true;
      }
      if (!this.#options.isAccepted()) {
        this.#options.abort({ kind: 'broken', breakage: 'unproven-answer' });
        return true;
      }
      this.#options.onFirstAttemptEvent();
    }
    const wasSound = this.#eventCount >= MIN_SOUND_EVENTS;
    this.#eventCount += count;
    if (!wasSound && this.#eventCount >= MIN_SOUND_EVENTS) {
      this.#options.onSoundProgress();
    }
    if (!exchange.hasResponseStarted && this.#head) {
      exchange.startResponse(this.#head);
    }
    const isWritable = this.#relay.write(bytes);
    this.#relay.recordDelivery(count, lastId);
    return isWritable;
  }

  override onComplete(head: ResponseHead): AttemptResult {
    const failure = this.#failureAtEnd(head);
    if (failure) {
      return { kind: 'broken', breakage: failure };
    }
    return head.framing === 'connection'
      ? { kind: 'unproven-end' }
      : this.finish(head);
  }

  override finish(head: ResponseHead): AttemptResult {
    const { exchange } = this.#options;
    if (!exchange.hasResponseStarted) {
      exchange.startResponse(head);
    }
    if (this.#splitter.tail.length > 0) {
      exchange.write(this.#splitter.tail);
    }
    exchange.end();
    return { kind: 'delivered', status: head.status };
  }

  /** Returns why the end of the endpoint's response is not the end of the stream. */
  #failureAtEnd(head: ResponseHead): AttemptFailure | undefined {
    if (this.#splitter.isWithinEvent) {
      return 'partial-event';
    }
    // A caller that resumes may have received the last event already.
    const mayBeEmpty = this.#relay.events === 0 && this.#options.isResumption;
    return head.framing === 'connection' &&
      this.#eventCount === 0 &&
      !mayBeEmpty
      ? 'no-event'
      : undefined;
  }

  /** Whether the first event of an attempt directly follows the last one that the caller has. */
  #isContinuation(firstId: number | undefined): boolean {
    const { lastEventId, events } = this.#relay;
    const isFirst = events === 0 && !this.#options.isResumption;
    return (
      isFirst ||
      (firstId !== undefined &&
        lastEventId !== undefined &&
        firstId === lastEventId + 1)
    );
  }
}
