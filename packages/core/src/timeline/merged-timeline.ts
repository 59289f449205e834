/** Merges the events of several processes into one order by timestamp. */
import { passesFilter } from './event-page';
import type {
  EventFilter,
  ReceivedEvent,
  ReceivedEventPage,
} from './event-page';
import { compareTimestamps } from './hybrid-clock';

/** An event with the process that recorded it. */
export interface MergedEvent extends ReceivedEvent {
  readonly process: string;
}

/** Number of events that the buffer of a process dropped before they were read. */
export interface LostEvents {
  readonly process: string;
  readonly count: number;
}

interface Source {
  readonly process: string;
  readonly incarnation: number;
  readonly next: number;
}

/** Compares two events: earlier ones first, and the events of one process in their own order. */
export function compareEvents(left: MergedEvent, right: MergedEvent): number {
  const byTimestamp = compareTimestamps(left.stamp, right.stamp);
  if (byTimestamp !== 0) {
    return byTimestamp;
  }
  if (left.process !== right.process) {
    return left.process < right.process ? -1 : 1;
  }
  return left.sequence - right.sequence;
}

export class MergedTimeline {
  readonly #filter: EventFilter;
  readonly #sources = new Map<string, Source>();
  readonly #lost = new Map<string, number>();
  #pending: MergedEvent[] = [];

  constructor(filter: EventFilter) {
    this.#filter = filter;
  }

  /** Sequence number to pass to the next request to a source. */
  next(source: string): number {
    return this.#sources.get(source)?.next ?? 0;
  }

  /**
   * Adds a page that was read from a source, such as an address. Returns true if
   * the source must be read again from the start, as its process was replaced.
   * The page is discarded in that case.
   */
  add(source: string, page: ReceivedEventPage): boolean {
    const previous = this.#sources.get(source);
    const { process, incarnation, next, lost } = page;
    const isReplaced =
      previous !== undefined &&
      (previous.incarnation !== incarnation || previous.process !== process);
    if (isReplaced && previous.next > 0) {
      this.#sources.set(source, { process, incarnation, next: 0 });
      return true;
    }
    this.#sources.set(source, { process, incarnation, next });
    if (lost > 0) {
      this.#lost.set(process, (this.#lost.get(process) ?? 0) + lost);
    }
    for (const event of page.events) {
      if (passesFilter(event, this.#filter)) {
        this.#pending.push({ ...event, process });
      }
    }
    return false;
  }

  /** Returns the events added since the last call, in order. */
  takeEvents(): readonly MergedEvent[] {
    const events = this.#pending.sort(compareEvents);
    this.#pending = [];
    return events;
  }

  lost(): readonly LostEvents[] {
    return [...this.#lost].map(([process, count]) => ({ process, count }));
  }
}
