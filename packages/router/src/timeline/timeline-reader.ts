/** Reads the timeline events of several routers over their operator APIs and merges them. */
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

/** A router whose events could not be read this time. */
export interface FailedSource {
  readonly source: string;
  readonly failure: OperatorFailure;
}

export interface TimelineReaderOptions {
  /** Clients by the address of their router. */
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

  /** Reads all new events; returns the sources that failed. */
  async read(): Promise<readonly FailedSource[]> {
    const failed: FailedSource[] = [];
    const reads = [...this.#clients].map(async ([source, client]) => {
      const failure = await this.#readSource(source, client);
      if (failure) {
        failed.push({ source, failure });
      }
    });
    await Promise.all(reads);
    return failed;
  }

  /** Takes the events read so far, in order over all sources. */
  takeEvents(): readonly MergedEvent[] {
    return this.#merged.takeEvents();
  }

  lost(): readonly LostEvents[] {
    return this.#merged.lost();
  }

  /** Reads pages until one is empty. */
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
