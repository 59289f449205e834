/**
 * The endpoints that may be used. An endpoint that is leaving stays so until it
 * starts anew. An entry that vanishes may only have lapsed in an outage of the
 * store, which a feed that waits need not notice; the endpoint behind it serves
 * on for a while in any case, so it stays in use for a short time.
 */
import type { EndpointId, ServiceId } from '../types/ids';
import { addTime, elapsed, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import type { EndpointChange, EndpointEntry } from './endpoint-entry';

/**
 * Time for which a vanished entry is held: within the deployments' 2 s, in which
 * an endpoint that left still serves and one that lives has its entry back.
 */
const LAPSE_TIME: Milliseconds = milliseconds(1400);

interface Row {
  readonly entry: EndpointEntry;
  readonly leaving: boolean;
  /** When the endpoint goes unless its entry comes back. */
  readonly lapsesAt: Instant | undefined;
  /** Whether a peer saw it leave or go; holds until the store names it again. */
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
  #loaded = false;

  /** Whether the whole list was read at least once. */
  get isLoaded(): boolean {
    return this.#loaded;
  }

  get size(): number {
    return this.#rows.size;
  }

  get(id: EndpointId): EndpointEntry | undefined {
    return this.#rows.get(id)?.entry;
  }

  /** Whether new requests may go to an endpoint. */
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

  /** Notes that the store answered again after it could not be reached. */
  onStoreAvailable(now: Instant): void {
    for (const [id, row] of this.#rows) {
      if (row.lapsesAt !== undefined) {
        this.#rows.set(id, { ...row, lapsesAt: addTime(now, LAPSE_TIME) });
      }
    }
  }

  /** Takes the whole list; what it does not name has vanished. */
  replace(entries: readonly EndpointEntry[], now: Instant): DirectoryEvent[] {
    this.#loaded = true;
    const named = new Set(entries.map(entry => entry.id));
    const events: DirectoryEvent[] = [];
    for (const id of [...this.#rows.keys()]) {
      if (!named.has(id)) {
        events.push(...this.apply({ id, entry: undefined }, now));
      }
    }
    for (const entry of entries) {
      events.push(...this.apply({ id: entry.id, entry }, now));
    }
    return events;
  }

  /** Takes one change of the list. */
  apply({ id, entry }: EndpointChange, now: Instant): DirectoryEvent[] {
    const known = this.#rows.get(id);
    if (!entry) {
      return known ? this.#vanished(id, known, now) : [];
    }
    const restarted = known !== undefined && isNewStart(known.entry, entry);
    const leaving = entry.leaving || (!restarted && (known?.leaving ?? false));
    this.#rows.set(id, {
      entry,
      leaving,
      lapsesAt: undefined,
      departed: false,
    });
    if (!known) {
      return [{ kind: 'joined', entry }];
    }
    if (restarted) {
      return [{ kind: 'restarted', entry }];
    }
    return leaving && !known.leaving ? [{ kind: 'leaving', id }] : [];
  }

  /**
   * Takes a peer's word that an endpoint is leaving or gone, as this router's
   * own feed may be late; returns false when that was known.
   */
  applyDeparture(id: EndpointId): boolean {
    const row = this.#rows.get(id);
    if (!row || row.leaving || row.departed) {
      return false;
    }
    this.#rows.set(id, { ...row, departed: true });
    return true;
  }

  /** Drops endpoints whose lapsed entries did not come back in time. */
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

  #vanished(id: EndpointId, row: Row, now: Instant): DirectoryEvent[] {
    if (row.leaving || row.departed) {
      this.#rows.delete(id);
      return [{ kind: 'gone', id }];
    }
    if (row.lapsesAt !== undefined) {
      return [];
    }
    this.#rows.set(id, { ...row, lapsesAt: addTime(now, LAPSE_TIME) });
    return [{ kind: 'lapsed', id }];
  }
}

function isNewStart(known: EndpointEntry, entry: EndpointEntry): boolean {
  return (
    known.startedAt !== undefined &&
    entry.startedAt !== undefined &&
    entry.startedAt > known.startedAt
  );
}
