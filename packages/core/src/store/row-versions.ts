/**
 * Revisions of the rows of one table that this router knows. Changes arrive from
 * the store and from several peers, late and more than once, and only the newest
 * of a row counts.
 */
import { LRUCache } from 'lru-cache';

import type { Revision } from './feed-position';

/** Rows that are remembered, removed ones among them. */
const MAX_ROWS = 4096;

/** A row of the complete table. */
export interface ListedRow {
  readonly key: string;
  readonly revision: Revision;
}

export class RowVersions {
  readonly #revisions = new LRUCache<string, Revision>({ max: MAX_ROWS });

  /** Records a change of a row; returns false if the same or a newer one is known. */
  accept(key: string, revision: Revision): boolean {
    const known = this.#revisions.get(key);
    if (known !== undefined && known >= revision) {
      return false;
    }
    this.#revisions.set(key, revision);
    return true;
  }

  /** Whether a complete list of the table as of a revision reflects the row's last change. */
  isIncluded(key: string, listRevision: Revision): boolean {
    const known = this.#revisions.get(key);
    return known === undefined || known <= listRevision;
  }

  get(key: string): Revision | undefined {
    return this.#revisions.get(key);
  }

  /** Forgets all revisions, as they are given out again after a restore. */
  reset(): void {
    this.#revisions.clear();
  }
}
