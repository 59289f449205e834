/**
 * Gossip topic of endpoint loads. Routers send their own requests in flight to
 * an endpoint's owners, and the primary owners send the totals to all routers.
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

/**
 * Maximum rate of totals over all peers in a small fleet, where each owner
 * covers every endpoint.
 */
const SMALL_FLEET_TOTALS_BYTES_PER_SECOND = 500;

/** Maximum rate of totals over all peers in a large fleet. */
const LARGE_FLEET_TOTALS_BYTES_PER_SECOND = 1500;

/** Typical size of a message with totals, its framing included. */
const TOTALS_MESSAGE_BYTES = 120;

/** Minimum time between two messages with totals to one peer. */
const MIN_TOTALS_INTERVAL = milliseconds(500);

/** Size of an entry without its values: brackets, sequence number and commas. */
const ENTRY_OVERHEAD_BYTES = 16;

/** Size of a value's quotes, commas and digits, without the endpoint key. */
const VALUE_OVERHEAD_BYTES = 7;

const KEY_RADIX = 36;
const MAX_KEY_LENGTH = 7;
const MAX_ELEMENTS = 8192;

/** First element of an entry with totals; an entry with counts starts with its sequence number. */
const TOTALS_MARKER = 't';

/** A sequence number or the marker of totals, then pairs of endpoint key and value. */
const entrySchema = z
  .tuple([z.union([z.int().nonnegative(), z.literal(TOTALS_MARKER)])])
  .rest(z.union([z.string().max(MAX_KEY_LENGTH), z.int().nonnegative()]));

/** Minimum load, as a multiple of the mean, from which a large fleet sends an endpoint's total. */
const MIN_RELATIVE_LOAD = 1.06;

/** Minimum change of a total that is sent, as a fraction of the endpoint's capacity. */
const TOTAL_STEP = 0.05;

interface EndpointValue {
  readonly endpoint: EndpointId;
  readonly value: number;
  /** Load relative to capacity; the most utilized endpoints are sent first. */
  readonly utilization: number;
}

/** Values that a router can send at one time, the most utilized endpoint first. */
interface Digest {
  readonly at: Instant;
  /** Own requests in flight, by owner of the endpoint. */
  readonly counts: ReadonlyMap<RouterId, readonly EndpointValue[]>;
  /** Loads of the endpoints of which this router is the primary owner. */
  readonly totals: readonly EndpointValue[];
  /** Minimum utilization of an endpoint whose total is sent. */
  readonly minUtilization: number;
}

export interface LoadTopicOptions {
  readonly self: RouterId;
  readonly view: LoadView;
  readonly owners: LoadOwners;
  /** Returns the live routers, this one included. */
  readonly routers: () => readonly RouterId[];
}

/** Returns the short key that stands for an endpoint in messages. */
export function endpointKey(endpoint: EndpointId): string {
  return murmurhash.v3(endpoint).toString(KEY_RADIX);
}

function byUtilization(values: EndpointValue[]): EndpointValue[] {
  return values.sort((left, right) => right.utilization - left.utilization);
}

function sizeOf(values: readonly EndpointValue[]): number {
  return values.length > 0
    ? ENTRY_OVERHEAD_BYTES +
        values.length * (MAX_KEY_LENGTH + VALUE_OVERHEAD_BYTES)
    : 0;
}

/** Returns the first values that fit into a budget. */
function fitToBudget(
  values: readonly EndpointValue[],
  budget: number,
): readonly EndpointValue[] {
  const maxValues =
    (budget - ENTRY_OVERHEAD_BYTES) / (MAX_KEY_LENGTH + VALUE_OVERHEAD_BYTES);
  return values.slice(0, Math.max(0, Math.floor(maxValues)));
}

function pairsOf(values: readonly EndpointValue[]): (string | number)[] {
  return values.flatMap(({ endpoint, value }) => [
    endpointKey(endpoint),
    value,
  ]);
}

/**
 * Sends absolute counts with a sequence number, so that views converge after
 * lost, duplicated and reordered messages. Counts go to the owners of an
 * endpoint at once; all other routers receive totals from the primary owner, at
 * a rate that falls with the number of peers. A large fleet sends no counts, as
 * owners receive loads from the endpoints, and totals only of endpoints above
 * the mean load.
 * `forget` must be called for a peer that restarts, as its sequence numbers start
 * again.
 */
export class LoadTopic extends GossipTopic {
  override readonly name = 'loads';
  override readonly rank = 1;
  readonly #options: LoadTopicOptions;
  readonly #counts = new SentValues();
  readonly #totals = new SentValues();
  readonly #totalsSentAt = new Map<RouterId, Instant>();
  readonly #endpoints = new Map<string, EndpointId>();
  /** Whether the keys were rebuilt while the current message is read. */
  #areKeysCurrent = false;
  #sequence = 0;
  #digest: Digest | undefined;

  constructor(options: LoadTopicOptions) {
    super();
    this.#options = options;
  }

  /** Returns a sequence number above all that this router used for its counts. */
  nextSequence(): number {
    this.#sequence += 1;
    return this.#sequence;
  }

  override take(
    peer: RouterId,
    budget: Bytes,
    now: Instant,
  ): readonly unknown[] {
    const counts = fitToBudget(this.#pendingCounts(peer, now), budget);
    const remaining = budget - sizeOf(counts);
    const totals = fitToBudget(this.#pendingTotals(peer, now), remaining);
    this.#recordSent(this.#counts, peer, counts, now);
    this.#recordSent(this.#totals, peer, totals, now);
    const entries: unknown[] = [];
    if (counts.length > 0) {
      entries.push([this.nextSequence(), ...pairsOf(counts)]);
    }
    if (totals.length > 0) {
      this.#totalsSentAt.set(peer, now);
      entries.push([TOTALS_MARKER, ...pairsOf(totals)]);
    }
    return entries;
  }

  override receive(
    peer: RouterId,
    entries: readonly unknown[],
    now: Instant,
  ): number {
    let malformed = 0;
    this.#areKeysCurrent = false;
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
    this.#totalsSentAt.delete(peer);
    this.#options.view.removePeer(peer);
  }

  #pendingCounts(peer: RouterId, now: Instant): EndpointValue[] {
    const counts = this.#digestAt(now).counts.get(peer) ?? [];
    return counts.filter(({ endpoint, value }) =>
      this.#counts.shouldSend(peer, endpoint, value, 1, now),
    );
  }

  #pendingTotals(peer: RouterId, now: Instant): EndpointValue[] {
    const { totals, minUtilization } = this.#digestAt(now);
    const sentAt = this.#totalsSentAt.get(peer);
    const isTooEarly =
      sentAt !== undefined && elapsed(sentAt, now) < this.#totalsInterval();
    if (totals.length === 0 || isTooEarly) {
      return [];
    }
    return totals.filter(({ endpoint, value, utilization }) => {
      const capacity = Math.max(1, this.#options.view.capacity(endpoint));
      const sent = this.#totals.lastSent(peer, endpoint) ?? 0;
      if (this.#options.owners.ownersOf(endpoint).includes(peer)) {
        return false;
      }
      const isLoaded = Math.max(utilization, sent / capacity) >= minUtilization;
      const step = Math.max(1, TOTAL_STEP * capacity);
      return (
        isLoaded && this.#totals.shouldSend(peer, endpoint, value, step, now)
      );
    });
  }

  /** Returns the values that can be sent at a time, computed once for all peers. */
  #digestAt(now: Instant): Digest {
    if (this.#digest?.at !== now) {
      this.#digest = this.#buildDigest(now);
    }
    return this.#digest;
  }

  #buildDigest(now: Instant): Digest {
    const { self, view, owners, routers } = this.#options;
    owners.update(routers(), [...view.endpoints()]);
    const values: EndpointValue[] = [];
    for (const endpoint of view.endpoints()) {
      const value = view.estimate(endpoint, now);
      const utilization = value / Math.max(1, view.capacity(endpoint));
      values.push({ endpoint, value, utilization });
    }
    const sum = values.reduce(
      (total, { utilization }) => total + utilization,
      0,
    );
    const mean = sum / Math.max(1, values.length);
    const minUtilization = owners.isSmallFleet ? 0 : MIN_RELATIVE_LOAD * mean;
    const counts = new Map<RouterId, EndpointValue[]>();
    const totals: EndpointValue[] = [];
    for (const entry of byUtilization(values)) {
      const { endpoint, utilization } = entry;
      const [primary, ...others] = owners.ownersOf(endpoint);
      if (primary === self) {
        totals.push({ ...entry, value: Math.round(entry.value) });
      }
      if (!primary || !owners.isSmallFleet) {
        continue;
      }
      const value = view.ownInFlight(endpoint);
      for (const owner of [primary, ...others]) {
        const list = counts.get(owner) ?? [];
        list.push({ endpoint, value, utilization });
        counts.set(owner, list);
      }
    }
    return { at: now, counts, totals, minUtilization };
  }

  /** Returns the time between totals to one peer that keeps within the byte rate. */
  #totalsInterval(): Milliseconds {
    const { owners, routers } = this.#options;
    const rate = owners.isSmallFleet
      ? SMALL_FLEET_TOTALS_BYTES_PER_SECOND
      : LARGE_FLEET_TOTALS_BYTES_PER_SECOND;
    const round = routers().length * TOTALS_MESSAGE_BYTES;
    const period = milliseconds((round / rate) * 1000);
    return period > MIN_TOTALS_INTERVAL ? period : MIN_TOTALS_INTERVAL;
  }

  #recordSent(
    sent: SentValues,
    peer: RouterId,
    values: readonly EndpointValue[],
    now: Instant,
  ): void {
    for (const { endpoint, value } of values) {
      sent.record(peer, endpoint, value, now);
    }
  }

  #receiveEntry(peer: RouterId, entry: unknown, now: Instant): boolean {
    const parsed = entrySchema.safeParse(entry);
    if (!parsed.success || parsed.data.length > MAX_ELEMENTS) {
      return false;
    }
    const [marker, ...pairs] = parsed.data;
    for (let index = 0; index < pairs.length; index += 2) {
      const key = pairs[index];
      const value = pairs[index + 1];
      if (typeof key !== 'string' || typeof value !== 'number') {
        return false;
      }
      this.#receiveValue(peer, marker, key, value, now);
    }
    return true;
  }

  #receiveValue(
    peer: RouterId,
    marker: number | typeof TOTALS_MARKER,
    key: string,
    value: number,
    now: Instant,
  ): void {
    const { view } = this.#options;
    const endpoint = this.#endpointOf(key);
    if (!endpoint) {
      return;
    }
    if (marker === TOTALS_MARKER) {
      view.applyReport(
        endpoint,
        { running: value, waiting: 0, observedAt: now },
        now,
        true,
      );
      return;
    }
    view.applyPeerCount(peer, endpoint, value, marker, now);
  }

  #endpointOf(key: string): EndpointId | undefined {
    const known = this.#endpoints.get(key);
    if (known ?? this.#areKeysCurrent) {
      return known;
    }
    this.#endpoints.clear();
    for (const endpoint of this.#options.view.endpoints()) {
      this.#endpoints.set(endpointKey(endpoint), endpoint);
    }
    this.#areKeysCurrent = true;
    return this.#endpoints.get(key);
  }
}
