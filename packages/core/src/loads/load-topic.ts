/**
 * What routers tell each other about load: their own requests in flight to the
 * endpoint's keepers, and the totals that keepers add up to everyone.
 */
import murmurhash from 'murmurhash';
import { z } from 'zod';

import { GossipTopic } from '../gossip/gossip-topic';
import type { EndpointId, RouterId } from '../types/ids';
import { elapsed, milliseconds } from '../types/units';
import type { Bytes, Instant, Milliseconds } from '../types/units';
import type { LoadOwners } from './load-owners';
import type { LoadView } from './load-view';
import { SentValues } from './sent-values';

/** Bytes per second that totals may take over all peers where keepers answer for every endpoint. */
const smallTotalsRate = 500;

/** The same in a large fleet. */
const largeTotalsRate = 1500;

/** Bytes of a usual message with totals, its framing included. */
const totalsMessageSize = 120;

/** Shortest time between two messages with totals to one peer. */
const minTotalsPeriod = milliseconds(500);

/** Bytes of an entry beside its numbers: brackets, sequence number and commas. */
const entryOverhead = 16;

/** Bytes of a number's quotes, commas and digits beside its key. */
const numberOverhead = 7;

const keyRadix = 36;
const maxKeyLength = 7;
const maxElements = 8192;

/** First element of an entry with totals; an entry with counts has its sequence number there. */
const totalsMark = 't';

/** A sequence number or the mark of totals, then pairs of endpoint key and number. */
const entrySchema = z
  .tuple([z.union([z.int().nonnegative(), z.literal(totalsMark)])])
  .rest(z.union([z.string().max(maxKeyLength), z.int().nonnegative()]));

/** Multiple of the mean load from which endpoints are told about in a larger fleet. */
const nearBound = 1.06;

/** A keeper tells a total that changed by this part of the endpoint's capacity. */
const totalStep = 0.05;

interface EndpointNumber {
  readonly endpoint: EndpointId;
  readonly value: number;
  /** Load relative to capacity; the fullest endpoints are told first. */
  readonly pressure: number;
}

/** What a router could tell at one time, the fullest endpoint first. */
interface Digest {
  readonly at: Instant;
  /** Own requests in flight, by the endpoint's keepers. */
  readonly counts: ReadonlyMap<RouterId, readonly EndpointNumber[]>;
  /** Loads of the endpoints of which this router is the first keeper. */
  readonly totals: readonly EndpointNumber[];
  /** Pressure from which an endpoint is told about. */
  readonly tellFrom: number;
}

export interface LoadTopicOptions {
  readonly self: RouterId;
  readonly view: LoadView;
  readonly owners: LoadOwners;
  /** Returns the live routers, this one included. */
  readonly routers: () => readonly RouterId[];
}

/** Returns the short name of an endpoint in messages. */
export function endpointKey(endpoint: EndpointId): string {
  return murmurhash.v3(endpoint).toString(keyRadix);
}

function fullestFirst(numbers: EndpointNumber[]): EndpointNumber[] {
  return numbers.sort((left, right) => right.pressure - left.pressure);
}

function sizeOf(numbers: readonly EndpointNumber[]): number {
  return numbers.length > 0
    ? entryOverhead + numbers.length * (maxKeyLength + numberOverhead)
    : 0;
}

/** Returns the first numbers that fit into a budget. */
function fitting(
  numbers: readonly EndpointNumber[],
  budget: number,
): readonly EndpointNumber[] {
  const room = (budget - entryOverhead) / (maxKeyLength + numberOverhead);
  return numbers.slice(0, Math.max(0, Math.floor(room)));
}

function pairsOf(numbers: readonly EndpointNumber[]): (string | number)[] {
  return numbers.flatMap(({ endpoint, value }) => [
    endpointKey(endpoint),
    value,
  ]);
}

/**
 * Tells absolute counts with a sequence number, so that lost, doubled and
 * reordered messages heal. The keepers of an endpoint are told at once, everyone
 * else hears totals from the first keeper, the less often the more peers there are. A
 * large fleet tells no counts, as keepers hear loads from the endpoints, and totals
 * only of endpoints above the mean load.
 * `forget` must be called for a peer that restarts, as its sequence numbers start
 * again.
 */
export class LoadTopic extends GossipTopic {
  override readonly name = 'loads';
  override readonly rank = 1;
  readonly #options: LoadTopicOptions;
  readonly #counts = new SentValues();
  readonly #totals = new SentValues();
  readonly #totalsToldAt = new Map<RouterId, Instant>();
  readonly #endpoints = new Map<string, EndpointId>();
  /** Whether the keys were rebuilt for the message at hand. */
  #keysAreFresh = false;
  #sequence = 0;
  #digest: Digest | undefined;

  constructor(options: LoadTopicOptions) {
    super();
    this.#options = options;
  }

  /** Returns a sequence number above all that were used for this router's counts. */
  nextSequence(): number {
    this.#sequence += 1;
    return this.#sequence;
  }

  override take(
    peer: RouterId,
    budget: Bytes,
    now: Instant,
  ): readonly unknown[] {
    const counts = fitting(this.#dueCounts(peer, now), budget);
    const rest = budget - sizeOf(counts);
    const totals = fitting(this.#dueTotals(peer, now), rest);
    this.#note(this.#counts, peer, counts, now);
    this.#note(this.#totals, peer, totals, now);
    const entries: unknown[] = [];
    if (counts.length > 0) {
      entries.push([this.nextSequence(), ...pairsOf(counts)]);
    }
    if (totals.length > 0) {
      this.#totalsToldAt.set(peer, now);
      entries.push([totalsMark, ...pairsOf(totals)]);
    }
    return entries;
  }

  override receive(
    peer: RouterId,
    entries: readonly unknown[],
    now: Instant,
  ): number {
    let malformed = 0;
    this.#keysAreFresh = false;
    for (const entry of entries) {
      if (!this.#receiveEntry(peer, entry, now)) {
        malformed += 1;
      }
    }
    return malformed;
  }

  override forget(peer: RouterId): void {
    this.#counts.removePeer(peer);
    this.#totals.removePeer(peer);
    this.#totalsToldAt.delete(peer);
    this.#options.view.removePeer(peer);
  }

  #dueCounts(peer: RouterId, now: Instant): EndpointNumber[] {
    const counts = this.#digestAt(now).counts.get(peer) ?? [];
    return counts.filter(({ endpoint, value }) =>
      this.#counts.shouldSend(peer, endpoint, value, 1, now),
    );
  }

  #dueTotals(peer: RouterId, now: Instant): EndpointNumber[] {
    const { totals, tellFrom } = this.#digestAt(now);
    const toldAt = this.#totalsToldAt.get(peer);
    const early =
      toldAt !== undefined && elapsed(toldAt, now) < this.#totalsPeriod();
    if (totals.length === 0 || early) {
      return [];
    }
    return totals.filter(({ endpoint, value, pressure }) => {
      const capacity = Math.max(1, this.#options.view.capacity(endpoint));
      const told = this.#totals.lastSent(peer, endpoint) ?? 0;
      if (this.#options.owners.ownersOf(endpoint).includes(peer)) {
        return false;
      }
      const near = Math.max(pressure, told / capacity) >= tellFrom;
      const step = Math.max(1, totalStep * capacity);
      return near && this.#totals.shouldSend(peer, endpoint, value, step, now);
    });
  }

  /** Returns what could be told at a time, worked out once for all peers. */
  #digestAt(now: Instant): Digest {
    if (this.#digest?.at !== now) {
      this.#digest = this.#makeDigest(now);
    }
    return this.#digest;
  }

  #makeDigest(now: Instant): Digest {
    const { self, view, owners: keepers, routers } = this.#options;
    keepers.update(routers(), [...view.endpoints()]);
    const numbers: EndpointNumber[] = [];
    for (const endpoint of view.endpoints()) {
      const value = view.estimate(endpoint, now);
      const pressure = value / Math.max(1, view.capacity(endpoint));
      numbers.push({ endpoint, value, pressure });
    }
    const sum = numbers.reduce((total, { pressure }) => total + pressure, 0);
    const mean = sum / Math.max(1, numbers.length);
    const tellFrom = keepers.isSmallFleet ? 0 : nearBound * mean;
    const counts = new Map<RouterId, EndpointNumber[]>();
    const totals: EndpointNumber[] = [];
    for (const number of fullestFirst(numbers)) {
      const { endpoint, pressure } = number;
      const [first, ...others] = keepers.ownersOf(endpoint);
      if (first === self) {
        totals.push({ ...number, value: Math.round(number.value) });
      }
      if (!first || !keepers.isSmallFleet) {
        continue;
      }
      const value = view.ownInFlight(endpoint);
      for (const keeper of [first, ...others]) {
        const list = counts.get(keeper) ?? [];
        list.push({ endpoint, value, pressure });
        counts.set(keeper, list);
      }
    }
    return { at: now, counts, totals, tellFrom };
  }

  /** Returns the time between totals to one peer that keeps to the byte rate. */
  #totalsPeriod(): Milliseconds {
    const { owners: keepers, routers } = this.#options;
    const rate = keepers.isSmallFleet ? smallTotalsRate : largeTotalsRate;
    const round = routers().length * totalsMessageSize;
    const period = milliseconds((round / rate) * 1000);
    return period > minTotalsPeriod ? period : minTotalsPeriod;
  }

  #note(
    told: SentValues,
    peer: RouterId,
    numbers: readonly EndpointNumber[],
    now: Instant,
  ): void {
    for (const { endpoint, value } of numbers) {
      told.record(peer, endpoint, value, now);
    }
  }

  #receiveEntry(peer: RouterId, entry: unknown, now: Instant): boolean {
    const parsed = entrySchema.safeParse(entry);
    if (!parsed.success || parsed.data.length > maxElements) {
      return false;
    }
    const [mark, ...pairs] = parsed.data;
    for (let index = 0; index < pairs.length; index += 2) {
      const key = pairs[index];
      const value = pairs[index + 1];
      if (typeof key !== 'string' || typeof value !== 'number') {
        return false;
      }
      this.#receiveNumber(peer, mark, key, value, now);
    }
    return true;
  }

  #receiveNumber(
    peer: RouterId,
    mark: number | typeof totalsMark,
    key: string,
    value: number,
    now: Instant,
  ): void {
    const { view } = this.#options;
    const endpoint = this.#endpointOf(key);
    if (!endpoint) {
      return;
    }
    if (mark === totalsMark) {
      view.applyReport(
        endpoint,
        { running: value, waiting: 0, observedAt: now },
        now,
        true,
      );
      return;
    }
    view.applyPeerCount(peer, endpoint, value, mark, now);
  }

  #endpointOf(key: string): EndpointId | undefined {
    const kept = this.#endpoints.get(key);
    if (kept ?? this.#keysAreFresh) {
      return kept;
    }
    this.#endpoints.clear();
    for (const endpoint of this.#options.view.endpoints()) {
      this.#endpoints.set(endpointKey(endpoint), endpoint);
    }
    this.#keysAreFresh = true;
    return this.#endpoints.get(key);
  }
}
