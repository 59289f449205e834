/** The suspects that a router knows, bounded in number and in time. */
import { Table } from '../table/table';
import type { Fingerprint } from '../types/ids';
import { elapsed, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { unclearedCrashes, suspectVersion, suspicion } from './suspect';
import type { CrashId, Suspect, SuspicionKind } from './suspect';

/** Rows kept; the least serious and oldest go first. */
export const MAX_SUSPECTS = 2048;
/** Crashes kept per row. */
export const MAX_CRASHES_PER_SUSPECT = 8;

/** How long a row is kept after it was last seen. */
export const SUSPECT_LIFETIMES: Readonly<Record<SuspicionKind, Milliseconds>> =
  {
    none: seconds(600),
    suspect: seconds(3600),
    condemned: seconds(86_400),
  };

const seriousness: Readonly<Record<SuspicionKind, number>> = {
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

  /** Merges a row in; returns true when it told something new. */
  merge(row: Suspect): boolean {
    const known = this.#rows.get(row.id);
    const merged: Suspect = {
      id: row.id,
      crashes: union(known?.crashes, row.crashes),
      cleared: union(known?.cleared, row.cleared),
      seenAt: known && known.seenAt > row.seenAt ? known.seenAt : row.seenAt,
    };
    const changed = !known || suspectVersion(merged) !== suspectVersion(known);
    this.#rows.put(merged);
    if (this.#rows.size > MAX_SUSPECTS) {
      this.#evict();
    }
    return changed;
  }

  /** Notes a crash during which the content was running. */
  recordCrash(id: Fingerprint, crash: CrashId, now: Instant): boolean {
    return this.merge({
      id,
      crashes: new Set([crash]),
      cleared: new Set(),
      seenAt: now,
    });
  }

  /** Clears the content of every crash so far; returns true when it changed. */
  clear(id: Fingerprint, now: Instant): boolean {
    const row = this.#rows.get(id);
    if (!row || unclearedCrashes(row).length === 0) {
      return false;
    }
    return this.merge({ ...row, cleared: row.crashes, seenAt: now });
  }

  /** Keeps a row alive because its content came back. */
  touch(id: Fingerprint, now: Instant): void {
    this.#rows.patch(id, { seenAt: now });
  }

  /** Drops rows whose lifetime has passed. */
  expire(now: Instant): void {
    for (const row of this.#rows.rows()) {
      const lifetime = SUSPECT_LIFETIMES[suspicion(row)];
      if (elapsed(row.seenAt, now) > lifetime) {
        this.#rows.delete(row.id);
      }
    }
  }

  #evict(): void {
    let victim: Suspect | undefined;
    for (const row of this.#rows.rows()) {
      if (!victim || isLesser(row, victim)) {
        victim = row;
      }
    }
    if (victim) {
      this.#rows.delete(victim.id);
    }
  }
}

function isLesser(left: Suspect, right: Suspect): boolean {
  const order =
    seriousness[suspicion(left)] - seriousness[suspicion(right)] ||
    left.seenAt - right.seenAt;
  return order < 0;
}

/** The least ids are kept, so that every router keeps the same. */
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
