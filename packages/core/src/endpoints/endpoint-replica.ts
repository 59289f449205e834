/**
 * This router's copy of the store's table of endpoints. Rows arrive from the
 * store and from peers; each accepted row is applied to the directory, and the
 * caller learns which ones peers may not know.
 */
import { LRUCache } from 'lru-cache';

import type { FeedCoverage } from '../store/feed-coverage';
import { comparePositions, FIRST_ERA, revision } from '../store/feed-position';
import type { FeedPosition, Revision, StoreEra } from '../store/feed-position';
import { RowVersions } from '../store/row-versions';
import type { EndpointId } from '../types/ids';
import { elapsed, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import type { DirectoryEvent, EndpointDirectory } from './endpoint-directory';
import type { EndpointEntry } from './endpoint-entry';

/** A row of the table; `entry` is undefined if it was removed or cannot be read. */
export interface EndpointRow {
  readonly id: EndpointId;
  readonly revision: Revision;
  readonly entry: EndpointEntry | undefined;
  /** Whether it exists and cannot be read, so that it names no endpoint. */
  readonly isUnreadable?: boolean;
  /** Whether it was passed on by a peer of an older build, which omits some of the fields. */
  readonly isPartial?: boolean;
}

/** Rows without an endpoint that are remembered. */
const MAX_FOREIGN = 1024;
/** Time without a confirmation after which an endpoint may have restarted more than once. */
const MAX_UNWATCHED_TIME: Milliseconds = seconds(2);

/** A row with the era of the store that it belongs to. */
interface EarlyRow {
  readonly era: StoreEra;
  readonly row: EndpointRow;
}

/** Called when endpoints may have come and left unseen before a position. */
export type MissedChangesListener = (before: FeedPosition) => void;

/** Receives what the changed rows mean for the endpoints. */
export type DirectoryListener = (events: readonly DirectoryEvent[]) => void;

export class EndpointReplica {
  readonly #directory: EndpointDirectory;
  readonly #coverage: FeedCoverage;
  readonly #versions = new RowVersions();
  /** Endpoints whose entry lacks fields that the store has. */
  readonly #partial = new Set<EndpointId>();
  /** Rows of peers that arrived before the list of their era. */
  readonly #early = new Map<EndpointId, EarlyRow>();
  /** Rows that exist and never named an endpoint. */
  readonly #foreign = new LRUCache<EndpointId, true>({ max: MAX_FOREIGN });
  #listener: DirectoryListener | undefined;
  #missedListener: MissedChangesListener = () => undefined;
  #era: StoreEra = FIRST_ERA;
  #baseRevision: Revision | undefined;

  /** `coverage` tells when the table was last confirmed. */
  constructor(directory: EndpointDirectory, coverage: FeedCoverage) {
    this.#directory = directory;
    this.#coverage = coverage;
  }

  /** Era of the rows; rows of another era are not comparable with them. */
  get era(): StoreEra {
    return this.#era;
  }

  /**
   * Revision of the list that this copy began with; all later changes were
   * returned to the caller. Undefined before the first list.
   */
  get baseRevision(): Revision | undefined {
    return this.#baseRevision;
  }

  /** Whether an entry lacks fields, so that the table should be read again. */
  get isPartial(): boolean {
    return this.#partial.size > 0;
  }

  setListener(listener: DirectoryListener): void {
    this.#listener = listener;
  }

  onMissedChanges(listener: MissedChangesListener): void {
    this.#missedListener = listener;
  }

  /** Every row with its revision, for a peer that has just subscribed. */
  rows(): EndpointRow[] {
    return this.#directory.all().map(entry => ({
      id: entry.id,
      revision: this.#versions.get(entry.id) ?? revision(0),
      entry: this.#directory.hasLapsed(entry.id) ? undefined : entry,
    }));
  }

  /**
   * Applies the complete table as of a position, which may be that of a newer
   * era. Returns the rows that changed since an earlier list of the same era.
   */
  applyList(
    rows: readonly EndpointRow[],
    position: FeedPosition,
    now: Instant,
  ): EndpointRow[] {
    const isRestored =
      this.#baseRevision !== undefined && position.era > this.#era;
    const reached = this.#coverage.position;
    const isReached =
      reached !== undefined && comparePositions(reached, position) >= 0;
    if (this.#baseRevision !== undefined && !isReached) {
      // A list tells nothing of endpoints that came and left since the last change.
      this.#missedListener(position);
    }
    if (this.#baseRevision === undefined || isRestored) {
      this.#replace(rows, position, now, isRestored);
      return [];
    }
    const listed = new Set(rows.map(({ id }) => id));
    const removed = this.#directory
      .all()
      .filter(
        ({ id }) =>
          !listed.has(id) && this.#versions.isIncluded(id, position.revision),
      )
      .map(({ id }) => ({
        id,
        revision: position.revision,
        entry: undefined,
      }));
    return [...rows, ...removed].filter(row => this.applyChange(row, now));
  }

  /**
   * Applies the complete table as a peer knows it; returns the rows that changed. A
   * removal that was passed on before the peer was connected shows only here.
   */
  applyPeerList(
    rows: readonly EndpointRow[],
    position: FeedPosition,
    now: Instant,
  ): EndpointRow[] {
    const isComparable =
      this.#baseRevision !== undefined && position.era === this.#era;
    if (isComparable) {
      // The revision of a removed row may be forgotten; that of the list tells as much.
      const existing = rows.filter(({ entry }) => entry !== undefined);
      return this.applyList(existing, position, now);
    }
    for (const row of rows) {
      this.applyPeerRow(row, position.era, now);
    }
    return [];
  }

  /**
   * Applies a row that a peer passed on; returns false if it is not new. One that comes
   * before the list of its era is applied again after that list, which may be older.
   */
  applyPeerRow(row: EndpointRow, era: StoreEra, now: Instant): boolean {
    const hasList = this.#baseRevision !== undefined;
    if (hasList && era === this.#era) {
      return this.applyChange(row, now);
    }
    if (hasList && era < this.#era) {
      return false;
    }
    const known = this.#early.get(row.id);
    const isNewer =
      !known ||
      comparePositions(
        { era, revision: row.revision },
        { era: known.era, revision: known.row.revision },
      ) > 0;
    if (isNewer) {
      this.#early.set(row.id, { era, row });
      if (!hasList && this.#directory.isLoaded) {
        this.#listener?.(this.#directory.apply(row, now));
      }
    }
    return false;
  }

  /**
   * Applies a change of this era. Returns false if the same or a newer one is known, or if
   * the row never named an endpoint.
   */
  applyChange(row: EndpointRow, now: Instant): boolean {
    const isPartial = row.isPartial ?? false;
    this.#checkRemoval(row);
    const completes =
      !isPartial &&
      this.#partial.has(row.id) &&
      this.#versions.get(row.id) === row.revision;
    if (!this.#versions.accept(row.id, row.revision) && !completes) {
      return false;
    }
    if (isPartial && row.entry) {
      this.#partial.add(row.id);
    } else {
      this.#partial.delete(row.id);
    }
    const isForeign = this.#isForeign(row);
    const { latest } = this.#coverage;
    const events = this.#directory.apply(row, now, latest?.confirmedAt);
    const isUnwatched =
      latest !== undefined &&
      elapsed(latest.confirmedAt, now) > MAX_UNWATCHED_TIME;
    if (isUnwatched && events.some(({ kind }) => kind === 'restarted')) {
      // The row shows only the last of its restarts, each of which may have had a version of its own.
      this.#missedListener({ era: this.#era, revision: row.revision });
    }
    this.#listener?.(events);
    return !isForeign;
  }

  /** Whether a row names no endpoint now and did not before. */
  #isForeign({ id, entry, isUnreadable = false }: EndpointRow): boolean {
    if (entry || this.#directory.get(id)) {
      this.#foreign.delete(id);
      return false;
    }
    if (isUnreadable) {
      this.#foreign.set(id, true);
      return true;
    }
    return this.#foreign.delete(id);
  }

  /** Reports the removal of a row that was never seen, as its endpoint served meanwhile. */
  #checkRemoval({
    id,
    entry,
    isUnreadable = false,
    revision: removedAt,
  }: EndpointRow): void {
    const isUnseen =
      entry === undefined &&
      !isUnreadable &&
      this.#versions.get(id) === undefined &&
      removedAt > (this.#baseRevision ?? removedAt);
    if (isUnseen) {
      this.#missedListener({ era: this.#era, revision: removedAt });
    }
  }

  #replace(
    rows: readonly EndpointRow[],
    { era, revision: listRevision }: FeedPosition,
    now: Instant,
    isRestored: boolean,
  ): void {
    this.#versions.reset();
    this.#partial.clear();
    this.#era = era;
    this.#baseRevision = listRevision;
    for (const row of rows) {
      this.#versions.accept(row.id, row.revision);
    }
    const entries = rows
      .map(({ entry }) => entry)
      .filter((entry): entry is EndpointEntry => entry !== undefined);
    const events = this.#directory.replace(
      entries,
      now,
      isRestored ? 'restored' : 'current',
    );
    this.#listener?.(events);
    for (const [id, early] of this.#early) {
      if (early.era <= era) {
        this.#early.delete(id);
      }
      if (early.era === era) {
        this.applyChange(early.row, now);
      }
    }
  }
}
