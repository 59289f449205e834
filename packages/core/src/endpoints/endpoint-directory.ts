/**
 * The endpoints that may be used. An endpoint that is leaving stays so until it
 * restarts. An entry that disappears may only have expired in an outage of the
 * store, which a feed that waits for changes may not notice. As the endpoint
 * continues to serve for a while in any case, it stays in use for a short time.
 */
import type { EndpointId, ServiceId } from '../types/ids';
import { addTime, elapsed, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import type { EndpointChange, EndpointEntry } from './endpoint-entry';

/**
 * Time for which the endpoint of a lapsed entry stays in use. It is below the
 * deployments' 2 s, within which an endpoint that left still serves and a live
 * one has its entry back.
 */
const LAPSE_GRACE_PERIOD: Milliseconds = milliseconds(1400);

interface Row {
  readonly entry: EndpointEntry;
  readonly leaving: boolean;
  /** When the endpoint is removed unless its entry comes back. */
  readonly lapsesAt: Instant | undefined;
  /** Whether a peer reported its departure; true until the store lists the endpoint again. */
  readonly departed: boolean;
}

export type DirectoryEvent =
  | { readonly kind: 'joined'; readonly entry: EndpointEntry }
  | { readonly kind: 'restarted'; readonly entry: EndpointEntry }
  | { readonly kind: 'leaving'; readonly id: EndpointId }
  | { readonly kind: 'lapsed'; readonly id: EndpointId }
  | { readonly kind: 'gone'; readonly id: EndpointId };

export class EndpointDirectory {
  readonly #rows = new Map<EndpointId, Row>();
  #isLoaded = false;

  /** Whether the complete list was read at least once. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  get size(): number {
    return this.#rows.size;
  }

  get(id: EndpointId): EndpointEntry | undefined {
    return this.#rows.get(id)?.entry;
  }

  /** Whether new requests may be sent to an endpoint. */
  isUsable(id: EndpointId): boolean {
    const row = this.#rows.get(id);
    return row !== undefined && !row.leaving && !row.departed;
  }

  /** Endpoints of a service that take new requests. */
  usable(service: ServiceId): EndpointEntry[] {
    const found: EndpointEntry[] = [];
    for (const { entry, leaving, departed } of this.#rows.values()) {
      if (entry.service === service && !leaving && !departed) {
        found.push(entry);
      }
    }
    return found;
  }

  all(): EndpointEntry[] {
    return [...this.#rows.values()].map(row => row.entry);
  }

  /** Extends the time of lapsed entries, as the store responds again after an outage. */
  onStoreAvailable(now: Instant): void {
    for (const [id, row] of this.#rows) {
      if (row.lapsesAt !== undefined) {
        this.#rows.set(id, {
          ...row,
          lapsesAt: addTime(now, LAPSE_GRACE_PERIOD),
        });
      }
    }
  }

  /** Applies the complete list; entries that it does not contain lapse. */
  replace(entries: readonly EndpointEntry[], now: Instant): DirectoryEvent[] {
    this.#isLoaded = true;
    const listedIds = new Set(entries.map(entry => entry.id));
    const events: DirectoryEvent[] = [];
    for (const id of [...this.#rows.keys()]) {
      if (!listedIds.has(id)) {
        events.push(...this.apply({ id, entry: undefined }, now));
      }
    }
    for (const entry of entries) {
      events.push(...this.apply({ id: entry.id, entry }, now));
    }
    return events;
  }

  /** Applies one change of the list. */
  apply({ id, entry }: EndpointChange, now: Instant): DirectoryEvent[] {
    const previous = this.#rows.get(id);
    if (!entry) {
      return previous ? this.#lapse(id, previous, now) : [];
    }
    const isRestarted =
      previous !== undefined && isRestart(previous.entry, entry);
    const leaving =
      entry.leaving || (!isRestarted && (previous?.leaving ?? false));
    this.#rows.set(id, {
      entry,
      leaving,
      lapsesAt: undefined,
      departed: false,
    });
    if (!previous) {
      return [{ kind: 'joined', entry }];
    }
    if (isRestarted) {
      return [{ kind: 'restarted', entry }];
    }
    return leaving && !previous.leaving ? [{ kind: 'leaving', id }] : [];
  }

  /**
   * Applies a peer's report that an endpoint is leaving or gone, as this router's
   * own feed may be late. Returns false if that was already known.
   */
  applyDeparture(id: EndpointId): boolean {
    const row = this.#rows.get(id);
    if (!row || row.leaving || row.departed) {
      return false;
    }
    this.#rows.set(id, { ...row, departed: true });
    return true;
  }

  /** Removes endpoints whose lapsed entries did not come back in time. */
  tick(now: Instant): DirectoryEvent[] {
    const events: DirectoryEvent[] = [];
    for (const [id, row] of this.#rows) {
      if (row.lapsesAt !== undefined && elapsed(row.lapsesAt, now) >= 0) {
        this.#rows.delete(id);
        events.push({ kind: 'gone', id });
      }
    }
    return events;
  }

  #lapse(id: EndpointId, row: Row, now: Instant): DirectoryEvent[] {
    if (row.leaving || row.departed) {
      this.#rows.delete(id);
      return [{ kind: 'gone', id }];
    }
    if (row.lapsesAt !== undefined) {
      return [];
    }
    this.#rows.set(id, { ...row, lapsesAt: addTime(now, LAPSE_GRACE_PERIOD) });
    return [{ kind: 'lapsed', id }];
  }
}

function isRestart(previous: EndpointEntry, entry: EndpointEntry): boolean {
  return (
    previous.startedAt !== undefined &&
    entry.startedAt !== undefined &&
    entry.startedAt > previous.startedAt
  );
}
