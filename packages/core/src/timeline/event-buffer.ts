/** Bounded ring buffer of a process's events; events that it overwrites unread are counted. */
import { EventRecorder } from './event';
import type { EventKind, EventLinks } from './event';
import type { HybridClock, HybridTimestamp } from './hybrid-clock';

/** Details that an event may carry in addition to its links. */
export type EventDetail = Readonly<Record<string, string | number | boolean>>;

/** One event as a process buffers and serves it. */
export interface TimelineEvent {
  /** Number of the event in its process, from 1. */
  readonly sequence: number;
  readonly stamp: HybridTimestamp;
  readonly kind: EventKind;
  readonly links: EventLinks;
  readonly detail?: EventDetail;
}

/** A process's response to a reader of its events. */
export interface EventPage {
  readonly process: string;
  /** Changes with each start of the process; sequence numbers start again with it. */
  readonly incarnation: number;
  readonly events: readonly TimelineEvent[];
  /** Number of events after the requested one that the buffer had already dropped. */
  readonly lost: number;
  /** Sequence number to pass to the next request. */
  readonly next: number;
}

export interface EventBufferOptions {
  readonly process: string;
  readonly incarnation: number;
  readonly clock: HybridClock;
  /** Maximum number of buffered events. */
  readonly capacity?: number;
}

const DEFAULT_CAPACITY = 20_000;
const DEFAULT_PAGE_SIZE = 1000;

export class EventBuffer extends EventRecorder {
  readonly #process: string;
  readonly #incarnation: number;
  readonly #clock: HybridClock;
  readonly #capacity: number;
  readonly #ring: TimelineEvent[] = [];
  #recorded = 0;

  constructor(options: EventBufferOptions) {
    super();
    this.#process = options.process;
    this.#incarnation = options.incarnation;
    this.#clock = options.clock;
    this.#capacity = Math.max(1, options.capacity ?? DEFAULT_CAPACITY);
  }

  /** Number of events recorded since the start. */
  get recorded(): number {
    return this.#recorded;
  }

  override record(
    kind: EventKind,
    links: EventLinks,
    detail?: EventDetail,
  ): void {
    this.#recorded += 1;
    const sequence = this.#recorded;
    const event = { sequence, stamp: this.#clock.next(), kind, links };
    const slot = (sequence - 1) % this.#capacity;
    this.#ring[slot] = detail ? { ...event, detail } : event;
  }

  /** Returns at most `limit` events after a sequence number, oldest first. */
  after(sequence: number, limit = DEFAULT_PAGE_SIZE): EventPage {
    const requested = Math.min(Math.max(0, sequence), this.#recorded);
    const dropped = Math.max(0, this.#recorded - this.#capacity);
    const first = Math.max(requested, dropped);
    const last = Math.min(first + Math.max(1, limit), this.#recorded);
    const events: TimelineEvent[] = [];
    for (let index = first; index < last; index += 1) {
      const event = this.#ring[index % this.#capacity];
      if (event) {
        events.push(event);
      }
    }
    return {
      process: this.#process,
      incarnation: this.#incarnation,
      events,
      lost: first - requested,
      next: last,
    };
  }
}
