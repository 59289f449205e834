/**
 * Gossip topic that sends this router's demand per pool and team to its peers,
 * largest changes first.
 */
import { z } from 'zod';

import { GossipTopic } from '../gossip/gossip-topic';
import type { RouterId } from '../types/ids';
import { teamId } from '../types/ids';
import { elapsed, seconds } from '../types/units';
import type { Bytes, Instant, Milliseconds } from '../types/units';
import type { DemandTable } from './demand-table';
import { poolId } from './pool';

/** Demand is sent in whole tenths of a slot. */
const UNITS_PER_SLOT = 10;
const MAX_UNITS = 10_000 * UNITS_PER_SLOT;
/** Demand below this counts as zero. */
const MIN_UNITS = 1;
/**
 * A change is sent at once when it reaches the larger of these two, otherwise
 * with the next refresh.
 */
const MIN_CHANGE_UNITS = 2;
const MIN_CHANGE_FRACTION = 0.2;
/** Unchanged demand is sent again at this period, before it expires at the peers. */
const REFRESH_PERIOD: Milliseconds = seconds(6);

const entrySchema = z.tuple([
  z.string().min(1).max(128),
  z.string().min(1).max(128),
  z.int().min(0).max(MAX_UNITS),
]);

type Entry = z.infer<typeof entrySchema>;

interface SentEntry {
  readonly entry: Entry;
  readonly at: Instant;
}

interface DemandCandidate {
  readonly key: string;
  readonly entry: Entry;
  readonly change: number;
}

export class DemandTopic extends GossipTopic {
  readonly name = 'demand';
  readonly rank = 40;
  readonly #table: DemandTable;
  readonly #sent = new Map<RouterId, Map<string, SentEntry>>();

  constructor(table: DemandTable) {
    super();
    this.#table = table;
  }

  override take(
    peer: RouterId,
    budget: Bytes,
    now: Instant,
  ): readonly unknown[] {
    const sent = this.#sent.get(peer) ?? new Map<string, SentEntry>();
    this.#sent.set(peer, sent);
    const candidates = this.#candidates(sent, now);
    candidates.sort((left, right) => right.change - left.change);
    const taken: Entry[] = [];
    let used = '[]'.length;
    for (const { key, entry } of candidates) {
      const size = JSON.stringify(entry).length + 1;
      if (used + size > budget) {
        break;
      }
      used += size;
      taken.push(entry);
      if (entry[2] === 0) {
        sent.delete(key);
      } else {
        sent.set(key, { entry, at: now });
      }
    }
    return taken;
  }

  override receive(
    peer: RouterId,
    entries: readonly unknown[],
    now: Instant,
  ): number {
    let refused = 0;
    for (const entry of entries) {
      const parsed = entrySchema.safeParse(entry);
      const isAccepted =
        parsed.success &&
        this.#table.put(peer, {
          pool: poolId(parsed.data[0]),
          team: teamId(parsed.data[1]),
          slots: parsed.data[2] / UNITS_PER_SLOT,
          at: now,
        });
      refused += isAccepted ? 0 : 1;
    }
    return refused;
  }

  override forget(peer: RouterId): void {
    this.#sent.delete(peer);
    this.#table.forget(peer);
  }

  /** Entries that changed sufficiently since they were sent to the peer, or must be refreshed. */
  #candidates(
    sent: ReadonlyMap<string, SentEntry>,
    now: Instant,
  ): DemandCandidate[] {
    const candidates: DemandCandidate[] = [];
    const current = this.#ownEntries(now);
    for (const [key, entry] of current) {
      const previous = sent.get(key);
      const change = Math.abs(entry[2] - (previous?.entry[2] ?? 0));
      const minChange = Math.max(
        MIN_CHANGE_UNITS,
        MIN_CHANGE_FRACTION * entry[2],
      );
      const isRefreshPending =
        previous && elapsed(previous.at, now) >= REFRESH_PERIOD;
      if (change >= minChange || isRefreshPending) {
        candidates.push({ key, entry, change });
      }
    }
    for (const [key, { entry }] of sent) {
      if (!current.has(key)) {
        const ended: Entry = [entry[0], entry[1], 0];
        candidates.push({ key, entry: ended, change: entry[2] });
      }
    }
    return candidates;
  }

  #ownEntries(now: Instant): Map<string, Entry> {
    const current = new Map<string, Entry>();
    for (const pool of this.#table.pools()) {
      for (const [team, slots] of this.#table.meter(pool).demands(now)) {
        const units = Math.min(Math.round(slots * UNITS_PER_SLOT), MAX_UNITS);
        if (units >= MIN_UNITS) {
          current.set(`${pool}\n${team}`, [pool, team, units]);
        }
      }
    }
    return current;
  }
}
