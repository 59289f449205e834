/** Relays one attempt of a stream event by event, so that another attempt can continue it. */
import { EventSplitter } from '@sesamegrade/core/forwarding/event-splitter';
import type {
  AttemptFailure,
  AttemptResult,
} from '@sesamegrade/core/forwarding/attempt-result';
import { ResponseSink } from '../endpoints/attempt';
import type { ResponseHead } from '../endpoints/endpoint-protocol';
import { MIN_RESPONSE_BYTES } from './response-memory';
import type {
  RelayedAttempt,
  ResponseRelay,
  ResponseRelayOptions,
} from './response-relay';

/** Largest event of a stream. */
const MAX_EVENT_BYTES = 1_048_576;

type SplitEvents = ReturnType<EventSplitter['feed']>;

export class EventStreamSink extends ResponseSink {
  readonly #relay: ResponseRelay;
  readonly #options: ResponseRelayOptions;
  readonly #attempt: RelayedAttempt;
  readonly #splitter = new EventSplitter();
  #head: ResponseHead | undefined;
  #eventCount = 0;
  /** Whether the first event may be passed on, while that is not decided. */
  #admission: Promise<boolean> | undefined;
  /** The events for which that is decided. */
  #undecided: SplitEvents | undefined;
  /** What arrived meanwhile. */
  #held: Buffer[] = [];
  #isAborted = false;

  constructor(
    relay: ResponseRelay,
    options: ResponseRelayOptions,
    attempt: RelayedAttempt,
  ) {
    super();
    this.#relay = relay;
    this.#options = options;
    this.#attempt = attempt;
  }

  override get heldBytes(): number {
    const held = this.#held.reduce((sum, { length }) => sum + length, 0);
    const undecided = this.#undecided?.bytes.length ?? 0;
    return this.#splitter.tail.length + undecided + held;
  }

  override onHead(head: ResponseHead): void {
    // The head is sent with the first event: an attempt without events must
    // leave the response unstarted.
    this.#head = head;
  }

  override onData(chunk: Buffer): boolean {
    if (this.#isAborted) {
      return true;
    }
    if (this.#admission) {
      this.#held.push(chunk);
      return false;
    }
    const events = this.#splitter.feed(chunk);
    if (this.heldBytes > MAX_EVENT_BYTES) {
      return this.#abort('malformed');
    }
    return events.count === 0 || this.#onEvents(events);
  }

  /** A large event that does not end can only be given up; what else is held waits for the caller or a decision. */
  override onMemoryFull(): boolean {
    return (
      this.#isAborted ||
      this.#splitter.tail.length <= MIN_RESPONSE_BYTES ||
      this.#abort('malformed')
    );
  }

  /** Returns false to pause the endpoint. */
  #onEvents(events: SplitEvents): boolean {
    const { firstId } = events;
    if (this.#eventCount === 0) {
      if (!this.#isContinuation(firstId)) {
        return this.#abort('event-order');
      }
      if (!this.#attempt.isAccepted()) {
        return this.#abort('unproven-answer');
      }
      const admission = this.#attempt.admit();
      if (admission !== true) {
        this.#hold(admission, events);
        return false;
      }
    }
    return this.#passOn(events);
  }

  /** Passes the events on once it is decided that they may be. */
  #hold(admission: Promise<boolean>, events: SplitEvents): void {
    this.#undecided = events;
    this.#admission = admission.then(isAdmitted => {
      this.#admission = undefined;
      if (!isAdmitted) {
        return false;
      }
      this.#undecided = undefined;
      const isWritable = this.#passOn(events);
      const held = this.#held.splice(0);
      const isHeldWritable = held.map(chunk => this.onData(chunk));
      if (this.#isAborted) {
        return false;
      }
      if (isWritable && isHeldWritable.every(Boolean)) {
        this.#attempt.resume();
      }
      return true;
    });
    this.#admission.catch(() => this.#abort('unproven-answer'));
  }

  /** Ends the attempt; returns true as the endpoint need not be paused. */
  #abort(breakage: AttemptFailure): true {
    this.#isAborted = true;
    this.#attempt.abort({ kind: 'broken', breakage });
    return true;
  }

  #passOn({ bytes, count, lastId }: SplitEvents): boolean {
    const { exchange } = this.#options;
    if (!this.#attempt.takeOver()) {
      this.#isAborted = true;
      return true;
    }
    if (this.#eventCount === 0) {
      this.#attempt.onFirstAttemptEvent();
    }
    this.#eventCount += count;
    if (!exchange.hasResponseStarted && this.#head) {
      exchange.startResponse(this.#head);
    }
    const isWritable = this.#relay.write(bytes, this.#attempt.resume);
    this.#relay.recordDelivery(count, lastId, this.#attempt);
    return isWritable;
  }

  override onComplete(
    head: ResponseHead,
  ): AttemptResult | Promise<AttemptResult> {
    return this.#admission
      ? this.#admission.then(isAdmitted =>
          isAdmitted ? this.#complete(head) : { kind: 'withdrawn' },
        )
      : this.#complete(head);
  }

  #complete(head: ResponseHead): AttemptResult {
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
    if (!this.#attempt.takeOver()) {
      return { kind: 'superseded', wasSent: true };
    }
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
