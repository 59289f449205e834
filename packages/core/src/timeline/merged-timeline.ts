/** Merges the events of several processes into one order. */
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

/** Events of a process that its buffer dropped before they were read. */
export interface LostEvents {
  readonly process: string;
  readonly count: number;
}

interface Source {
  readonly process: string;
  readonly incarnation: number;
  readonly next: number;
}

/** Earlier events first; one process's events keep their own order. */
export function compareEvents(left: MergedEvent, right: MergedEvent): number {
  const byStamp = compareTimestamps(left.stamp, right.stamp);
  if (byStamp !== 0) {
    return byStamp;
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
  #fresh: MergedEvent[] = [];

  constructor(filter: EventFilter) {
    this.#filter = filter;
  }

  /** Sequence number to ask a source after. */
  next(source: string): number {
    return this.#sources.get(source)?.next ?? 0;
  }

  /**
   * Takes a page of a source such as an address. Returns whether it has to be
   * asked again from the start, because the process there was replaced.
   */
  add(source: string, page: ReceivedEventPage): boolean {
    const known = this.#sources.get(source);
    const { process, incarnation, next, lost } = page;
    const replaced =
      known !== undefined &&
      (known.incarnation !== incarnation || known.process !== process);
    if (replaced && known.next > 0) {
      this.#sources.set(source, { process, incarnation, next: 0 });
      return true;
    }
    this.#sources.set(source, { process, incarnation, next });
    if (lost > 0) {
      this.#lost.set(process, (this.#lost.get(process) ?? 0) + lost);
    }
    for (const event of page.events) {
      if (passesFilter(event, this.#filter)) {
        this.#fresh.push({ ...event, process });
      }
    }
    return false;
  }

  /** Returns the events that came since the last call, in order. */
  takeEvents(): readonly MergedEvent[] {
    const events = this.#fresh.sort(compareEvents);
    this.#fresh = [];
    return events;
  }

  lost(): readonly LostEvents[] {
    return [...this.#lost].map(([process, count]) => ({ process, count }));
  }
}
