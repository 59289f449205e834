/**
 * What routers tell each other about load: their own requests in flight, and in
 * a large fleet the totals that watchers add up.
 */
import murmurhash from 'murmurhash';
import { z } from 'zod';

import { GossipTopic } from '../gossip/gossip-topic';
import type { EndpointId, RouterId } from '../types/ids';
import type { Bytes, Instant } from '../types/units';
import type { LoadView } from './load-view';
import { ToldNumbers } from './told-numbers';

/** Number of peers up to which every router tells its counts to all of them. */
const maxMeshPeers = 24;

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

/** A watcher tells a total that changed by this part of the endpoint's capacity. */
const totalStep = 0.05;

/** A watcher tells totals of endpoints whose load is this multiple of the mean or more. */
const tellAboveMean = 1;

interface EndpointNumber {
  readonly endpoint: EndpointId;
  readonly value: number;
  /** Load relative to capacity; the fullest endpoints are told first. */
  readonly pressure: number;
}

export interface LoadTopicOptions {
  readonly self: RouterId;
  readonly view: LoadView;
  /** Returns the router that watches an endpoint. */
  readonly watcher: (endpoint: EndpointId) => RouterId | undefined;
  /** Returns the number of live peers. */
  readonly peers: () => number;
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
 * reordered messages heal. In a small fleet every peer is told; in a large one
 * only the watcher of the endpoint, which tells everyone the totals of endpoints
 * above the mean load. `forget` must be called for a peer that restarts, as its
 * sequence numbers start again.
 */
export class LoadTopic extends GossipTopic {
  override readonly name = 'loads';
  override readonly rank = 1;
  readonly #options: LoadTopicOptions;
  readonly #counts = new ToldNumbers();
  readonly #totals = new ToldNumbers();
  readonly #endpoints = new Map<string, EndpointId>();
  /** Whether the keys were rebuilt for the message at hand. */
  #keysAreFresh = false;
  #sequence = 0;

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
    this.#counts.forget(peer);
    this.#totals.forget(peer);
    this.#options.view.forgetPeer(peer);
  }

  #dueCounts(peer: RouterId, now: Instant): EndpointNumber[] {
    const { view, watcher } = this.#options;
    const mesh = this.#isMesh();
    const due: EndpointNumber[] = [];
    for (const endpoint of view.endpoints()) {
      const value = view.ownInFlight(endpoint);
      const concerns = mesh || watcher(endpoint) === peer;
      if (concerns && this.#counts.isDue(peer, endpoint, value, 1, now)) {
        due.push({ endpoint, value, pressure: this.#pressure(endpoint, now) });
      }
    }
    return fullestFirst(due);
  }

  #dueTotals(peer: RouterId, now: Instant): EndpointNumber[] {
    if (this.#isMesh()) {
      return [];
    }
    const { self, view, watcher } = this.#options;
    const mean = this.#meanPressure(now);
    const due: EndpointNumber[] = [];
    for (const endpoint of view.endpoints()) {
      if (watcher(endpoint) !== self) {
        continue;
      }
      const value = Math.round(view.estimate(endpoint, now));
      const step = Math.max(1, totalStep * view.capacity(endpoint));
      const pressure = this.#pressure(endpoint, now);
      const near = pressure >= tellAboveMean * mean;
      if (near && this.#totals.isDue(peer, endpoint, value, step, now)) {
        due.push({ endpoint, value, pressure });
      }
    }
    return fullestFirst(due);
  }

  #isMesh(): boolean {
    return this.#options.peers() <= maxMeshPeers;
  }

  #pressure(endpoint: EndpointId, now: Instant): number {
    const { view } = this.#options;
    return view.estimate(endpoint, now) / Math.max(1, view.capacity(endpoint));
  }

  #meanPressure(now: Instant): number {
    const { view } = this.#options;
    let load = 0;
    let capacity = 0;
    for (const endpoint of view.endpoints()) {
      load += view.estimate(endpoint, now);
      capacity += view.capacity(endpoint);
    }
    return load / Math.max(1, capacity);
  }

  #note(
    told: ToldNumbers,
    peer: RouterId,
    numbers: readonly EndpointNumber[],
    now: Instant,
  ): void {
    for (const { endpoint, value } of numbers) {
      told.note(peer, endpoint, value, now);
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
      view.report(
        endpoint,
        { running: value, waiting: 0, observedAt: now },
        now,
      );
      return;
    }
    view.peerCount(peer, endpoint, value, mark, now);
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
