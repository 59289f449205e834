/** Tells peers this router's demand per pool and team, largest changes first. */
import { z } from 'zod';

import { GossipTopic } from '../gossip/gossip-topic';
import type { RouterId } from '../types/ids';
import { teamId } from '../types/ids';
import { elapsed, seconds } from '../types/units';
import type { Bytes, Instant, Milliseconds } from '../types/units';
import type { DemandTable } from './demand-table';
import { poolId } from './pool';

/** Demand travels as whole tenths of a slot. */
const unitsPerSlot = 10;
const maxUnits = 10_000 * unitsPerSlot;
/** Demand below this is told as none. */
const floorUnits = 1;
/** Changes below both of these wait for the next refresh. */
const changedUnits = 2;
const changedFraction = 0.2;
/** Unchanged demand is told again before peers let it expire. */
const refreshPeriod: Milliseconds = seconds(6);

const entrySchema = z.tuple([
  z.string().min(1).max(128),
  z.string().min(1).max(128),
  z.int().min(0).max(maxUnits),
]);

type Entry = z.infer<typeof entrySchema>;

interface Told {
  readonly entry: Entry;
  readonly at: Instant;
}

interface Candidate {
  readonly key: string;
  readonly entry: Entry;
  readonly change: number;
}

export class DemandTopic extends GossipTopic {
  readonly name = 'demand';
  readonly rank = 40;
  readonly #table: DemandTable;
  readonly #told = new Map<RouterId, Map<string, Told>>();

  constructor(table: DemandTable) {
    super();
    this.#table = table;
  }

  override take(
    peer: RouterId,
    budget: Bytes,
    now: Instant,
  ): readonly unknown[] {
    const told = this.#told.get(peer) ?? new Map<string, Told>();
    this.#told.set(peer, told);
    const candidates = this.#candidates(told, now);
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
        told.delete(key);
      } else {
        told.set(key, { entry, at: now });
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
      const kept =
        parsed.success &&
        this.#table.put(peer, {
          pool: poolId(parsed.data[0]),
          team: teamId(parsed.data[1]),
          slots: parsed.data[2] / unitsPerSlot,
          at: now,
        });
      refused += kept ? 0 : 1;
    }
    return refused;
  }

  override forget(peer: RouterId): void {
    this.#told.delete(peer);
    this.#table.forget(peer);
  }

  /** Entries that differ enough from what the peer was told, or are due again. */
  #candidates(told: ReadonlyMap<string, Told>, now: Instant): Candidate[] {
    const candidates: Candidate[] = [];
    const current = this.#current(now);
    for (const [key, entry] of current) {
      const before = told.get(key);
      const change = Math.abs(entry[2] - (before?.entry[2] ?? 0));
      const least = Math.max(changedUnits, changedFraction * entry[2]);
      const due = before && elapsed(before.at, now) >= refreshPeriod;
      if (change >= least || due) {
        candidates.push({ key, entry, change });
      }
    }
    for (const [key, { entry }] of told) {
      if (!current.has(key)) {
        const ended: Entry = [entry[0], entry[1], 0];
        candidates.push({ key, entry: ended, change: entry[2] });
      }
    }
    return candidates;
  }

  #current(now: Instant): Map<string, Entry> {
    const current = new Map<string, Entry>();
    for (const pool of this.#table.pools()) {
      for (const [team, slots] of this.#table.meter(pool).demands(now)) {
        const units = Math.min(Math.round(slots * unitsPerSlot), maxUnits);
        if (units >= floorUnits) {
          current.set(`${pool}\n${team}`, [pool, team, units]);
        }
      }
    }
    return current;
  }
}
