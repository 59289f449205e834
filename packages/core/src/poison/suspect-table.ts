/** Stores the suspects that a router knows, bounded in number and in time. */
import { Table } from '../table/table';
import type { Fingerprint } from '../types/ids';
import { elapsed, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { unclearedCrashes, suspectVersion, suspicion } from './suspect';
import type { CrashId, Suspect, SuspicionKind } from './suspect';

/** Maximum number of rows; the least severe and oldest are evicted first. */
export const MAX_SUSPECTS = 2048;
/** Crashes stored per row; later ones do not change it. */
export const MAX_CRASHES_PER_SUSPECT = 32;

/** Retention of a row after the content was last seen. */
export const SUSPECT_LIFETIMES: Readonly<Record<SuspicionKind, Milliseconds>> =
  {
    none: seconds(600),
    suspect: seconds(3600),
    condemned: seconds(86_400),
  };

/** Rank of a kind of row; the lowest is evicted first. */
export const SEVERITY: Readonly<Record<SuspicionKind, number>> = {
  none: 0,
  suspect: 1,
  condemned: 2,
};

export class SuspectTable {
  readonly #rows = new Table<Fingerprint, Suspect>();

  get(id: Fingerprint): Suspect | undefined {
    return this.#rows.get(id);
  }

  rows(): IterableIterator<Suspect> {
    return this.#rows.rows();
  }

  get size(): number {
    return this.#rows.size;
  }

  /** Merges a row; returns true when it added a crash or a clearing. */
  merge(row: Suspect): boolean {
    const existing = this.#rows.get(row.id);
    const merged: Suspect = {
      id: row.id,
      crashes: union(existing?.crashes, row.crashes),
      cleared: union(existing?.cleared, row.cleared),
      seenAt:
        existing && existing.seenAt > row.seenAt ? existing.seenAt : row.seenAt,
    };
    const changed =
      !existing || suspectVersion(merged) !== suspectVersion(existing);
    this.#rows.put(merged);
    if (this.#rows.size > MAX_SUSPECTS) {
      this.#evictOne();
    }
    return changed;
  }

  /**
   * Records a crash during which the content was running; returns true when the
   * crash was new.
   */
  recordCrash(id: Fingerprint, crash: CrashId, now: Instant): boolean {
    return this.merge({
      id,
      crashes: new Set([crash]),
      cleared: new Set(),
      seenAt: now,
    });
  }

  /** Clears the content of all crashes so far; returns true when it changed. */
  clear(id: Fingerprint, now: Instant): boolean {
    return this.clearOf(id, () => true, now);
  }

  /** Clears the content of some of its crashes; returns true when it changed. */
  clearOf(
    id: Fingerprint,
    isDisproved: (crash: CrashId) => boolean,
    now: Instant,
  ): boolean {
    const row = this.#rows.get(id);
    const cleared = row ? unclearedCrashes(row).filter(isDisproved) : [];
    return row !== undefined && cleared.length > 0
      ? this.merge({ ...row, cleared: new Set(cleared), seenAt: now })
      : false;
  }

  /** Extends the retention of a row because its content was requested again. */
  touch(id: Fingerprint, now: Instant): void {
    this.#rows.patch(id, { seenAt: now });
  }

  /** Drops rows whose retention is over. */
  expire(now: Instant): void {
    for (const row of this.#rows.rows()) {
      const retention = SUSPECT_LIFETIMES[suspicion(row)];
      if (elapsed(row.seenAt, now) > retention) {
        this.#rows.delete(row.id);
      }
    }
  }

  #evictOne(): void {
    let candidate: Suspect | undefined;
    for (const row of this.#rows.rows()) {
      if (!candidate || isEvictedBefore(row, candidate)) {
        candidate = row;
      }
    }
    if (candidate) {
      this.#rows.delete(candidate.id);
    }
  }
}

function isEvictedBefore(left: Suspect, right: Suspect): boolean {
  const order =
    SEVERITY[suspicion(left)] - SEVERITY[suspicion(right)] ||
    left.seenAt - right.seenAt;
  return order < 0;
}

/** Truncates to the lowest ids, so that every router stores the same ones. */
function union(
  left: ReadonlySet<CrashId> | undefined,
  right: ReadonlySet<CrashId>,
): ReadonlySet<CrashId> {
  const all = new Set([...(left ?? []), ...right]);
  if (all.size <= MAX_CRASHES_PER_SUSPECT) {
    return all;
  }
  return new Set([...all].sort().slice(0, MAX_CRASHES_PER_SUSPECT));
}
