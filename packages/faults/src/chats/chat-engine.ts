/**
 * A simulated model engine that streams numbered events and records which
 * requests it ran.
 */
import type { Random } from '@sesamegrade/core/random/random';
import type { AttemptId, RequestId } from '@sesamegrade/core/types/ids';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { ExchangeFault } from '../simulation/fault';
import type { Schedule } from '../simulation/schedule';

/** One event of a streamed response. */
export interface StreamEvent {
  /** Counts from 1. */
  readonly number: number;
  readonly isEnd: boolean;
  /** The request to whose response the event belongs. */
  readonly request: RequestId;
}

/** Receives at the router what one connection to an engine delivers. */
export interface StreamSink {
  onEvent(event: StreamEvent): void;
  /**
   * The connection was reset, or the engine does not have the stream or is down
   * (`gone`).
   */
  onClosed(ending: 'reset' | 'gone'): void;
}

interface Stream {
  readonly request: RequestId;
  readonly startedAt: number;
  isCancelled: boolean;
}

/** Number of events of each response, including the last one. */
export const RESPONSE_EVENTS = 8;
const EVENT_PERIOD_MS = 40;
const SLOW_EVENT_PERIOD_MS = 900;

export class ChatEngine {
  readonly #schedule: Schedule;
  readonly #random: Random;
  readonly #streams = new Map<AttemptId, Stream>();
  readonly #connections = new Set<StreamSink>();
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

  /** Whether the engine started to run the request. */
  hasRun(request: RequestId): boolean {
    return this.#runs.has(request);
  }

  /**
   * Loses all streams, resets all connections and stays down for the given
   * time.
   */
  crash(downtime: Milliseconds): void {
    this.#downUntil = this.#schedule.now + downtime;
    this.#streams.clear();
    const connections = [...this.#connections];
    this.#connections.clear();
    for (const sink of connections) {
      this.#transmit(() => {
        sink.onClosed('reset');
      });
    }
  }

  /**
   * Starts to run a request; it produces events whether or not a connection is
   * open.
   */
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

  /**
   * Streams the events after the given number over a new connection, with its
   * fault if any.
   */
  connect(
    attempt: AttemptId,
    after: number,
    sink: StreamSink,
    fault: ExchangeFault | undefined,
  ): void {
    const stream = this.#streams.get(attempt);
    if (!stream || this.isDown) {
      this.#transmit(() => {
        sink.onClosed('gone');
      });
      return;
    }
    this.#connections.add(sink);
    this.#sendFrom(stream, after + 1, sink, fault);
  }

  #sendFrom(
    stream: Stream,
    number: number,
    sink: StreamSink,
    fault: ExchangeFault | undefined,
  ): void {
    const period = fault === 'slow' ? SLOW_EVENT_PERIOD_MS : EVENT_PERIOD_MS;
    const sendAt = stream.startedAt + number * period;
    const delay = milliseconds(Math.max(0, sendAt - this.#schedule.now));
    this.#schedule.after(delay, () => {
      if (!this.#connections.has(sink) || stream.isCancelled) {
        return;
      }
      if (isBrokenAt(fault, number)) {
        this.#breakConnection(sink, fault);
        return;
      }
      this.#deliver(stream, number, sink, fault);
      if (number < RESPONSE_EVENTS) {
        this.#sendFrom(stream, number + 1, sink, fault);
      } else {
        this.#connections.delete(sink);
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
    this.#transmit(send);
    if (fault === 'duplicated-answer') {
      this.#schedule.after(milliseconds(this.#random.integer(1, 90)), send);
    }
  }

  /** Resets the connection; a stalled or late response only falls silent. */
  #breakConnection(sink: StreamSink, fault: ExchangeFault | undefined): void {
    this.#connections.delete(sink);
    if (fault !== 'stall' && fault !== 'late-answer') {
      this.#transmit(() => {
        sink.onClosed('reset');
      });
    }
  }

  #transmit(action: () => void): void {
    this.#schedule.after(milliseconds(this.#random.integer(1, 4)), action);
  }
}

/** Whether the fault ends the connection before this event. */
function isBrokenAt(fault: ExchangeFault | undefined, number: number): boolean {
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
