/** Reads the events of several processes over their operator APIs. */
import type { EventFilter } from '@sesamegrade/core/timeline/event-page';
import { MergedTimeline } from '@sesamegrade/core/timeline/merged-timeline';
import type {
  LostEvents,
  MergedEvent,
} from '@sesamegrade/core/timeline/merged-timeline';
import type {
  OperatorClient,
  OperatorFailure,
} from '../operators/operator-client';

/** A process that could not be read this time. */
export interface FailedSource {
  readonly source: string;
  readonly failure: OperatorFailure;
}

export interface TimelineReaderOptions {
  /** Clients by the address that names them. */
  readonly clients: ReadonlyMap<string, OperatorClient>;
  readonly filter: EventFilter;
}

export class TimelineReader {
  readonly #clients: ReadonlyMap<string, OperatorClient>;
  readonly #merged: MergedTimeline;

  constructor(options: TimelineReaderOptions) {
    this.#clients = options.clients;
    this.#merged = new MergedTimeline(options.filter);
  }

  /** Reads everything new; returns the processes that did not answer. */
  async read(): Promise<readonly FailedSource[]> {
    const silent: FailedSource[] = [];
    const reads = [...this.#clients].map(async ([source, client]) => {
      const failure = await this.#readSource(source, client);
      if (failure) {
        silent.push({ source, failure });
      }
    });
    await Promise.all(reads);
    return silent;
  }

  /** Returns the events of the last reads, in order over all processes. */
  takeEvents(): readonly MergedEvent[] {
    return this.#merged.takeEvents();
  }

  lost(): readonly LostEvents[] {
    return this.#merged.lost();
  }

  /** Reads page after page until nothing is left. */
  async #readSource(
    source: string,
    client: OperatorClient,
  ): Promise<OperatorFailure | undefined> {
    for (;;) {
      const page = await client.timeline(this.#merged.next(source));
      if (!page.ok) {
        return page.failure;
      }
      const replaced = this.#merged.add(source, page.value);
      if (!replaced && page.value.events.length === 0) {
        return undefined;
      }
    }
  }
}
