/**
 * The endpoints that may be used. An endpoint that is leaving stays so until it
 * restarts. An entry that disappears may only have expired in an outage of the
 * store, which a feed that waits for changes may not notice. As the endpoint
 * continues to serve for a while in any case, it stays in use for a short time.
 * Departures outlive the entries: a store that was restored from an older copy
 * lists endpoints again that have left since.
 */
import { LRUCache } from 'lru-cache';

import type { EndpointId, ServiceId } from '../types/ids';
import { addTime, elapsed, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import type { EndpointChange, EndpointEntry } from './endpoint-entry';

/** Time within which an endpoint that left gets no more requests, unless settings say otherwise. */
const DEFAULT_DEPARTURE_BOUND: Milliseconds = milliseconds(2000);
/**
 * Share of that bound for which the endpoint of a lapsed entry stays in use. An
 * endpoint that left still serves as long, and a live one has its entry back.
 */
const LAPSE_GRACE_SHARE = 0.7;
/**
 * Time for which an endpoint that a restored store does not list stays in use:
 * it probably joined after the copy was made and writes its entry again.
 */
const RESTORE_GRACE_PERIOD: Milliseconds = milliseconds(4000);
/**
 * Time after which an endpoint that was gone is used again if a restored store
 * still lists it: the store removes the entries of dead endpoints within three
 * heartbeats.
 */
const RESTORE_HOLD_PERIOD: Milliseconds = milliseconds(6000);
/** Departures that are remembered: several times the endpoints of the largest deployment. */
const MAX_DEPARTURES = 4096;

interface Row {
  readonly entry: EndpointEntry;
  readonly leaving: boolean;
  /** When the endpoint is removed unless its entry comes back. */
  readonly lapsesAt: Instant | undefined;
  /** Whether a peer reported its departure; true until the store lists the endpoint again. */
  readonly departed: boolean;
  /** Until when an entry of a restored store is not trusted; undefined if it is. */
  readonly heldUntil: Instant | undefined;
}

/** How an instance of an endpoint left. */
interface Departure {
  /** Start time of the instance that left; undefined if its entry had none. */
  readonly startedAt: number | undefined;
  /** Whether it announced that it leaves; otherwise its entry may only have expired. */
  readonly announced: boolean;
}

/** Whether a list of endpoints is the store's usual one or that of an older copy. */
export type ListOrigin = 'current' | 'restored';

export type DirectoryEvent =
  | { readonly kind: 'joined'; readonly entry: EndpointEntry }
  | { readonly kind: 'restarted'; readonly entry: EndpointEntry }
  | { readonly kind: 'leaving'; readonly id: EndpointId }
  | { readonly kind: 'lapsed'; readonly id: EndpointId }
  | { readonly kind: 'gone'; readonly id: EndpointId };

/** Called with each entry that is put into the list; `isFirstList` for those that it began with. */
export type EntryListener = (
  entry: EndpointEntry,
  now: Instant,
  isFirstList: boolean,
) => void;

export class EndpointDirectory {
  readonly #rows = new Map<EndpointId, Row>();
  readonly #departures = new LRUCache<EndpointId, Departure>({
    max: MAX_DEPARTURES,
  });
  readonly #departureBound: Milliseconds;
  #isLoaded = false;
  #entryListener: EntryListener = () => undefined;

  constructor(departureBound: Milliseconds = DEFAULT_DEPARTURE_BOUND) {
    this.#departureBound = departureBound;
  }

  /** Calls the listener with each accepted entry, also if it tells nothing new of the instance. */
  onEntry(listener: EntryListener): void {
    this.#entryListener = listener;
  }

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

  /** Whether the entry of an endpoint is gone while it stays in use for a short time. */
  hasLapsed(id: EndpointId): boolean {
    return this.#rows.get(id)?.lapsesAt !== undefined;
  }

  /** Whether new requests may be sent to an endpoint. */
  isUsable(id: EndpointId): boolean {
    const row = this.#rows.get(id);
    return row !== undefined && isRowUsable(row);
  }

  /** Whether an instance announced that it leaves, also if its entry is gone. */
  hasAnnouncedLeaving(id: EndpointId, startedAt: number | undefined): boolean {
    const row = this.#rows.get(id);
    if (row && row.entry.startedAt === startedAt) {
      return row.leaving;
    }
    const departure = this.#departures.get(id);
    return (
      departure?.startedAt === startedAt && (departure?.announced ?? false)
    );
  }

  /** Endpoints of a service that take new requests. */
  usable(service: ServiceId): EndpointEntry[] {
    const found: EndpointEntry[] = [];
    for (const row of this.#rows.values()) {
      if (row.entry.service === service && isRowUsable(row)) {
        found.push(row.entry);
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
          lapsesAt: addTime(now, this.#lapseGrace),
        });
      }
    }
  }

  /** Applies the complete list; entries that it does not contain lapse. */
  replace(
    entries: readonly EndpointEntry[],
    now: Instant,
    origin: ListOrigin = 'current',
  ): DirectoryEvent[] {
    const isFirstList = !this.#isLoaded;
    this.#isLoaded = true;
    const listedIds = new Set(entries.map(entry => entry.id));
    const events: DirectoryEvent[] = [];
    for (const id of [...this.#rows.keys()]) {
      if (!listedIds.has(id)) {
        events.push(...this.#remove(id, now, origin, undefined));
      }
    }
    for (const entry of entries) {
      events.push(...this.#put(entry, now, origin, isFirstList));
    }
    return events;
  }

  /**
   * Applies one change of the list. `confirmedAt` is the time of the last
   * confirmation without it: an entry may have disappeared right after.
   */
  apply(
    { id, entry }: EndpointChange,
    now: Instant,
    confirmedAt?: Instant,
  ): DirectoryEvent[] {
    return entry
      ? this.#put(entry, now, 'current')
      : this.#remove(id, now, 'current', confirmedAt);
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

  /**
   * Marks an instance as leaving by its own statement, on which the store and
   * later entries of the same instance have no influence. Returns false if that
   * was already known or another instance has its place.
   */
  markLeaving(id: EndpointId, startedAt: number | undefined): boolean {
    const row = this.#rows.get(id);
    if (row && row.entry.startedAt !== startedAt) {
      return false;
    }
    const known = this.#departures.get(id);
    const wasKnown =
      row?.leaving ?? (known?.announced && known.startedAt === startedAt);
    this.#departures.set(id, { startedAt, announced: true });
    if (row) {
      this.#rows.set(id, { ...row, leaving: true });
    }
    return !wasKnown;
  }

  /** Removes endpoints whose lapsed entries did not come back in time. */
  tick(now: Instant): DirectoryEvent[] {
    const events: DirectoryEvent[] = [];
    for (const [id, row] of this.#rows) {
      if (row.lapsesAt !== undefined && elapsed(row.lapsesAt, now) >= 0) {
        this.#delete(id, row);
        events.push({ kind: 'gone', id });
      } else if (
        row.heldUntil !== undefined &&
        elapsed(row.heldUntil, now) >= 0
      ) {
        this.#rows.set(id, { ...row, heldUntil: undefined, departed: false });
      }
    }
    return events;
  }

  #put(
    entry: EndpointEntry,
    now: Instant,
    origin: ListOrigin,
    isFirstList = false,
  ): DirectoryEvent[] {
    const { id } = entry;
    const previous = this.#rows.get(id);
    const departure = this.#departures.get(id);
    const lastStart = previous?.entry.startedAt ?? departure?.startedAt;
    if (isEarlier(entry.startedAt, lastStart)) {
      // An older copy's entry of an instance that has restarted since.
      return [];
    }
    const isRestarted = isEarlier(lastStart, entry.startedAt);
    const hasLeft =
      departure !== undefined &&
      !isRestarted &&
      (origin === 'restored' || departure.startedAt !== undefined);
    const leaving =
      entry.leaving ||
      (!isRestarted && (previous?.leaving ?? false)) ||
      (hasLeft && departure.announced);
    const wasGone = previous
      ? previous.departed || previous.heldUntil !== undefined
      : hasLeft;
    const isHeld = origin === 'restored' && wasGone && !isRestarted;
    this.#rows.set(id, {
      entry,
      leaving,
      lapsesAt: undefined,
      departed: isHeld && (previous?.departed ?? false),
      heldUntil: isHeld ? addTime(now, RESTORE_HOLD_PERIOD) : undefined,
    });
    if (isRestarted) {
      this.#departures.delete(id);
    }
    this.#entryListener(entry, now, isFirstList);
    if (!previous) {
      return [{ kind: 'joined', entry }];
    }
    if (isRestarted) {
      return [{ kind: 'restarted', entry }];
    }
    return leaving && !previous.leaving ? [{ kind: 'leaving', id }] : [];
  }

  get #lapseGrace(): Milliseconds {
    return milliseconds(this.#departureBound * LAPSE_GRACE_SHARE);
  }

  #remove(
    id: EndpointId,
    now: Instant,
    origin: ListOrigin,
    confirmedAt: Instant | undefined,
  ): DirectoryEvent[] {
    const row = this.#rows.get(id);
    if (!row) {
      return [];
    }
    if (row.leaving || row.departed) {
      this.#delete(id, row);
      return [{ kind: 'gone', id }];
    }
    if (row.lapsesAt !== undefined) {
      return [];
    }
    const lapsesAt =
      origin === 'restored'
        ? addTime(now, RESTORE_GRACE_PERIOD)
        : addTime(this.#lapseStart(now, confirmedAt), this.#lapseGrace);
    this.#rows.set(id, { ...row, lapsesAt });
    return [{ kind: 'lapsed', id }];
  }

  /**
   * The earliest time at which an entry may have disappeared. After an outage
   * entries have expired that come back, so that their time starts with its end.
   */
  #lapseStart(now: Instant, confirmedAt: Instant | undefined): Instant {
    const isOutage =
      confirmedAt === undefined ||
      elapsed(confirmedAt, now) > this.#departureBound;
    return isOutage ? now : confirmedAt;
  }

  #delete(id: EndpointId, { entry, leaving }: Row): void {
    this.#rows.delete(id);
    this.#departures.set(id, {
      startedAt: entry.startedAt,
      announced: leaving,
    });
  }
}

function isRowUsable({ leaving, departed, heldUntil }: Row): boolean {
  return !leaving && !departed && heldUntil === undefined;
}

/** Whether both start times are known and the first one is earlier. */
function isEarlier(first: number | undefined, second: number | undefined) {
  return first !== undefined && second !== undefined && first < second;
}
