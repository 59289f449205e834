/**
 * One kind of rate that endpoints state in their responses for the whole fleet, such
 * as the requests a second that they accept. Routers tell each other of changes, so
 * that a router which sends little to an endpoint also learns of the beginning and
 * the end of its limit.
 */
import { z } from 'zod';

import type { EndpointEntry } from '../endpoints/endpoint-entry';
import { forEachValidEntry } from '../peers/entry-lists';
import { endpointId } from '../types/ids';
import type { EndpointId } from '../types/ids';
import { elapsed } from '../types/units';
import type { Instant } from '../types/units';
import type { RateStatement } from './rate-statement';

/** Rate above which a statement is the same as none, as no fleet sends more. */
export const MAX_LIMIT_PER_SECOND = 10_000;
const MAX_REVISION = 1_000_000_000;

/**
 * An endpoint, the start time of its instance, the number of changes so far, and
 * the rate a second; null if it states none any more.
 */
const entrySchema = z.tuple([
  z.string().min(1).max(200),
  z.number().nullable(),
  z.int().min(1).max(MAX_REVISION),
  z.number().min(0).max(MAX_LIMIT_PER_SECOND).nullable(),
]);

type RateEntry = z.output<typeof entrySchema>;

export interface RateChange {
  readonly endpoint: EndpointId;
  /** Undefined if the endpoint states no rate any more. */
  readonly perSecond: number | undefined;
  readonly origin: 'response' | 'peer';
}

interface Row {
  readonly startedAt: number | undefined;
  /** Orders the changes of all routers; the higher one holds, of equal ones the lower limit. */
  readonly revision: number;
  readonly perSecond: number | undefined;
  /** When this router last learned that the limit is in force. */
  readonly statedAt: Instant;
}

type Instance = Pick<EndpointEntry, 'id' | 'startedAt'>;

export class StatedRates {
  readonly #rows = new Map<EndpointId, Row>();
  readonly #unsent = new Set<EndpointId>();
  #listener: ((change: RateChange) => void) | undefined;

  /** Calls the listener with each change. */
  onChanged(listener: (change: RateChange) => void): void {
    this.#listener = listener;
  }

  /** Whether there are changes to send to peers. */
  get hasChanges(): boolean {
    return this.#unsent.size > 0;
  }

  /** Number of endpoints that state a rate. */
  get size(): number {
    return [...this.#rows.values()].filter(
      ({ perSecond }) => perSecond !== undefined,
    ).length;
  }

  /** The rate that an instance states; undefined if it states none. */
  perSecond({ id, startedAt }: Instance): number | undefined {
    const row = this.#rows.get(id);
    return row?.startedAt === startedAt ? row?.perSecond : undefined;
  }

  /**
   * Applies the statement of a response. A response without a limit ends it only if
   * its request was sent after the limit was last stated, as responses overtake each
   * other and streams begin long after their requests.
   */
  onStatement(
    { id, startedAt }: Instance,
    statement: RateStatement,
    sentAt: Instant,
    now: Instant,
  ): void {
    if (statement.kind === 'malformed') {
      return;
    }
    const stated = limitOf(statement);
    const known = this.#rows.get(id);
    if (known && isLater(known.startedAt, startedAt)) {
      return;
    }
    const current = known?.startedAt === startedAt ? known : undefined;
    if (stated === current?.perSecond) {
      if (current && stated !== undefined) {
        this.#rows.set(id, { ...current, statedAt: now });
      }
      return;
    }
    const isOutdated =
      stated === undefined &&
      current !== undefined &&
      elapsed(current.statedAt, sentAt) <= 0;
    if (isOutdated) {
      return;
    }
    this.#put(
      id,
      {
        startedAt,
        revision: (current?.revision ?? 0) + 1,
        perSecond: stated,
        statedAt: now,
      },
      'response',
    );
    this.#unsent.add(id);
  }

  /** Drops what an endpoint stated that is gone or was restarted. */
  remove(endpoint: EndpointId): void {
    this.#rows.delete(endpoint);
    this.#unsent.delete(endpoint);
  }

  /** Returns the changes to send to peers and clears them. */
  takeChanges(): RateEntry[] {
    const changes = [...this.#unsent].flatMap(id => this.#entry(id));
    this.#unsent.clear();
    return changes;
  }

  /** Returns all limits, also ended ones, for a peer that has just subscribed. */
  fullState(): RateEntry[] {
    return [...this.#rows.keys()].flatMap(id => this.#entry(id));
  }

  /** Applies a peer's changes; returns the number of malformed entries. */
  receive(
    entries: readonly unknown[] | undefined,
    isRelay: boolean,
    now: Instant,
  ): number {
    return forEachValidEntry(entries, entrySchema, entry => {
      const isNew = this.#merge(entry, now);
      if (isNew && isRelay) {
        this.#unsent.add(endpointId(entry[0]));
      }
    });
  }

  #merge([key, start, revision, limit]: RateEntry, now: Instant): boolean {
    const id = endpointId(key);
    const row: Row = {
      startedAt: start ?? undefined,
      revision,
      perSecond: limit ?? undefined,
      statedAt: now,
    };
    const known = this.#rows.get(id);
    if (known && !supersedes(row, known)) {
      return false;
    }
    this.#put(id, row, 'peer');
    return true;
  }

  #put(id: EndpointId, row: Row, origin: RateChange['origin']): void {
    const previous = this.#rows.get(id)?.perSecond;
    this.#rows.set(id, row);
    if (previous !== row.perSecond) {
      this.#listener?.({ endpoint: id, perSecond: row.perSecond, origin });
    }
  }

  #entry(id: EndpointId): RateEntry[] {
    const row = this.#rows.get(id);
    return row
      ? [[id, row.startedAt ?? null, row.revision, row.perSecond ?? null]]
      : [];
  }
}

function limitOf(statement: RateStatement): number | undefined {
  return statement.kind === 'limit' &&
    statement.perSecond <= MAX_LIMIT_PER_SECOND
    ? statement.perSecond
    : undefined;
}

function isLater(start: number | undefined, other: number | undefined) {
  return (start ?? 0) > (other ?? 0);
}

/** Whether one of two rows of an endpoint is the newer one. */
function supersedes(row: Row, known: Row): boolean {
  if (row.startedAt !== known.startedAt) {
    return isLater(row.startedAt, known.startedAt);
  }
  if (row.revision !== known.revision) {
    return row.revision > known.revision;
  }
  return (
    (row.perSecond ?? Number.POSITIVE_INFINITY) <
    (known.perSecond ?? Number.POSITIVE_INFINITY)
  );
}
