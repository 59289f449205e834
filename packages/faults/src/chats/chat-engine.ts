/** A model engine that streams numbered events, as a fake that counts its runs. */
import type { Random } from '@sesamegrade/core/random/random';
import type { AttemptId, RequestId } from '@sesamegrade/core/types/ids';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { ExchangeFault } from '../simulation/fault';
import type { Schedule } from '../simulation/schedule';

/** One event as it comes over a connection. */
export interface StreamEvent {
  readonly number: number;
  readonly isEnd: boolean;
  /** Names the request whose answer it belongs to. */
  readonly request: RequestId;
}

/** The router's end of a connection to an engine. */
export interface StreamSink {
  onEvent(event: StreamEvent): void;
  /** The connection broke or the stream is not kept. */
  onClosed(ending: 'reset' | 'gone'): void;
}

interface Stream {
  readonly request: RequestId;
  readonly startedAt: number;
  isCancelled: boolean;
}

/** Events of each answer, the end mark included. */
export const RESPONSE_EVENTS = 8;
const EVENT_PERIOD_MS = 40;
const SLOW_EVENT_PERIOD_MS = 900;

export class ChatEngine {
  readonly #schedule: Schedule;
  readonly #random: Random;
  readonly #streams = new Map<AttemptId, Stream>();
  readonly #open = new Set<StreamSink>();
  readonly #runs = new Set<RequestId>();
  #downUntil = 0;
  isLeaving = false;

  constructor(schedule: Schedule, random: Random) {
    this.#schedule = schedule;
    this.#random = random;
  }

  get isDown(): boolean {
    return this.#schedule.now < this.#downUntil;
  }

  /** Whether the engine began to run the request. */
  hasRun(request: RequestId): boolean {
    return this.#runs.has(request);
  }

  /** Loses every stream and connection and is away for a while. */
  crash(length: Milliseconds): void {
    this.#downUntil = this.#schedule.now + length;
    this.#streams.clear();
    const open = [...this.#open];
    this.#open.clear();
    for (const sink of open) {
      this.#travel(() => {
        sink.onClosed('reset');
      });
    }
  }

  /** Begins to run a request; its events go on without a connection. */
  start(attempt: AttemptId, request: RequestId): void {
    this.#runs.add(request);
    const startedAt = this.#schedule.now;
    this.#streams.set(attempt, { request, startedAt, isCancelled: false });
  }

  cancel(attempt: AttemptId): void {
    const stream = this.#streams.get(attempt);
    if (stream) {
      stream.isCancelled = true;
    }
  }

  /** Sends the events after a number over a connection, with its fault. */
  connect(
    attempt: AttemptId,
    after: number,
    sink: StreamSink,
    fault: ExchangeFault | undefined,
  ): void {
    const stream = this.#streams.get(attempt);
    if (!stream || this.isDown) {
      this.#travel(() => {
        sink.onClosed('gone');
      });
      return;
    }
    this.#open.add(sink);
    this.#sendFrom(stream, after + 1, sink, fault);
  }

  #sendFrom(
    stream: Stream,
    number: number,
    sink: StreamSink,
    fault: ExchangeFault | undefined,
  ): void {
    const period = fault === 'slow' ? SLOW_EVENT_PERIOD_MS : EVENT_PERIOD_MS;
    const due = stream.startedAt + number * period;
    const delay = milliseconds(Math.max(0, due - this.#schedule.now));
    this.#schedule.after(delay, () => {
      if (!this.#open.has(sink) || stream.isCancelled) {
        return;
      }
      if (isCutAt(fault, number)) {
        this.#cut(sink, fault);
        return;
      }
      this.#deliver(stream, number, sink, fault);
      if (number < RESPONSE_EVENTS) {
        this.#sendFrom(stream, number + 1, sink, fault);
      } else {
        this.#open.delete(sink);
      }
    });
  }

  #deliver(
    { request }: Stream,
    number: number,
    sink: StreamSink,
    fault: ExchangeFault | undefined,
  ): void {
    const isEnd = number === RESPONSE_EVENTS;
    const send = () => {
      sink.onEvent({ number, isEnd, request });
    };
    this.#travel(send);
    if (fault === 'duplicated-answer') {
      this.#schedule.after(milliseconds(this.#random.integer(1, 90)), send);
    }
  }

  /** The connection breaks, or falls silent. */
  #cut(sink: StreamSink, fault: ExchangeFault | undefined): void {
    this.#open.delete(sink);
    if (fault !== 'stall' && fault !== 'late-answer') {
      this.#travel(() => {
        sink.onClosed('reset');
      });
    }
  }

  #travel(action: () => void): void {
    this.#schedule.after(milliseconds(this.#random.integer(1, 4)), action);
  }
}

/** Whether the connection ends before this event. */
function isCutAt(fault: ExchangeFault | undefined, number: number): boolean {
  switch (fault) {
    case 'reset-before-headers':
    case 'connection-refused':
    case 'stall':
      return number >= 1;
    case 'reset-mid-answer':
    case 'late-answer':
      return number >= RESPONSE_EVENTS / 2;
    case 'slow':
    case 'duplicated-answer':
    case undefined:
      return false;
  }
}
