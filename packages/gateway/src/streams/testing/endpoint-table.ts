/** The store's table of endpoints for tests: a feed that keeps the last change of each row. */
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import type { EndpointRow } from '@sesamegrade/core/endpoints/endpoint-replica';
import { revision } from '@sesamegrade/core/store/feed-position';
import type { Revision } from '@sesamegrade/core/store/feed-position';
import type { EndpointId } from '@sesamegrade/core/types/ids';
import type { RevisionCounter } from './memory-table';

interface Change extends EndpointRow {
  readonly madeAt: number;
}

export class EndpointTable {
  readonly #changes: Change[] = [];
  readonly #counter: RevisionCounter;

  constructor(counter: RevisionCounter) {
    this.#counter = counter;
  }

  /** The endpoints that exist now. */
  get entries(): EndpointEntry[] {
    return this.rows(Infinity).flatMap(({ entry }) => entry ?? []);
  }

  add(entry: EndpointEntry, now: number): void {
    this.#append(entry.id, entry, now);
  }

  remove(id: EndpointId, now: number): void {
    this.#append(id, undefined, now);
  }

  /** The rows that existed at a time. */
  rows(at: number): EndpointRow[] {
    return this.changes(revision(0), at).filter(({ entry }) => entry);
  }

  /** The last change of each row after a revision, as of a time. */
  changes(after: Revision, at: number): EndpointRow[] {
    const latest = new Map<EndpointId, Change>();
    for (const change of this.#until(at)) {
      latest.delete(change.id);
      latest.set(change.id, change);
    }
    return [...latest.values()].filter(change => change.revision > after);
  }

  /** The change that a revision stands for. */
  change(at: Revision): EndpointRow {
    const change = this.#changes.find(each => each.revision === at);
    if (!change) {
      throw new RangeError(`no revision ${at}`);
    }
    return change;
  }

  /** The revision of the last change before a time. */
  lastRevision(at: number): Revision {
    return this.#until(at).at(-1)?.revision ?? revision(0);
  }

  #until(at: number): Change[] {
    return this.#changes.filter(({ madeAt }) => madeAt <= at);
  }

  #append(
    id: EndpointId,
    entry: EndpointEntry | undefined,
    madeAt: number,
  ): void {
    const next = this.#counter.next(madeAt);
    this.#changes.push({ id, entry, revision: next, madeAt });
  }
}
