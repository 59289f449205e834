/**
 * Exchanges the numbers of requests at endpoints. Each router sends its own counts
 * to its relays. A relay adds them up and sends the fleet's totals to everyone,
 * together with the receiver's own counts that the totals include, so that the
 * receiver does not count its own requests twice. A message thus grows with the
 * endpoints whose load changed, not with the routers.
 */
import type { LoadEstimate } from '../engines/load-estimate';
import type { TopicEntries } from '../gossip/gossip-scheduler';
import { endpointId } from '../types/ids';
import type { EndpointId, RouterId } from '../types/ids';
import type { Instant } from '../types/units';
import { forEachAcceptedEntry, isCountEntry } from './entry-lists';

export const LoadTopic = {
  /** The sender's own requests. */
  own: 'l',
  /** Requests of all routers, as far as a relay knows them. */
  totals: 't',
  /** The receiver's own requests that the totals include. */
  included: 'o',
  /** Present when the sender's earlier totals are no longer valid. */
  reset: 'z',
} as const;

type Count = readonly [EndpointId, number];

export class LoadUpdates {
  readonly #loads: LoadEstimate;
  readonly #ownChanges = new Map<EndpointId, number>();
  readonly #changedTotals = new Set<EndpointId>();
  /** Counts that each peer has sent since the last message to it. */
  readonly #received = new Map<RouterId, Map<EndpointId, number>>();
  #isRelay = false;
  #mustReset = false;

  constructor(loads: LoadEstimate) {
    this.#loads = loads;
  }

  set isRelay(isRelay: boolean) {
    if (this.#isRelay && !isRelay) {
      this.#mustReset = true;
      this.#changedTotals.clear();
      this.#received.clear();
    }
    this.#isRelay = isRelay;
  }

  /** Whether there are counts or totals to send. */
  get hasChanges(): boolean {
    return (
      this.#ownChanges.size > 0 ||
      this.#changedTotals.size > 0 ||
      this.#mustReset
    );
  }

  /** Records this router's own number of requests at an endpoint. */
  onOwnChanged(endpoint: EndpointId, own: number): void {
    this.#ownChanges.set(endpoint, own);
    this.#markTotalChanged(endpoint);
  }

  /** Drops the counts of a peer that is gone. */
  onPeerGone(peer: RouterId): void {
    this.#received.delete(peer);
    for (const endpoint of this.#loads.removePeer(peer)) {
      this.#markTotalChanged(endpoint);
    }
  }

  /** Returns the updates for all peers and clears them. */
  takeChanges(): TopicEntries {
    const topics: Record<string, readonly unknown[]> = {};
    if (this.#ownChanges.size > 0) {
      topics[LoadTopic.own] = [...this.#ownChanges];
      this.#ownChanges.clear();
    }
    if (this.#changedTotals.size > 0) {
      topics[LoadTopic.totals] = this.#totals(this.#changedTotals);
      this.#changedTotals.clear();
    }
    if (this.#mustReset) {
      topics[LoadTopic.reset] = [[]];
      this.#mustReset = false;
    }
    return topics;
  }

  /** Returns the part of a message that is for one peer only, and clears it. */
  takeIncluded(peer: RouterId): TopicEntries {
    const received = this.#received.get(peer);
    if (!this.#isRelay || !received || received.size === 0) {
      return {};
    }
    this.#received.delete(peer);
    return { [LoadTopic.included]: [...received] };
  }

  /** Returns all counts for a peer that has just subscribed. */
  fullState(peer: RouterId, endpoints: readonly EndpointId[]): TopicEntries {
    const loads = this.#loads;
    const own = endpoints
      .map((id): Count => [id, loads.ownInFlight(id)])
      .filter(([, count]) => count > 0);
    if (!this.#isRelay) {
      return { [LoadTopic.own]: own };
    }
    this.#received.delete(peer);
    return {
      [LoadTopic.own]: own,
      [LoadTopic.reset]: [[]],
      [LoadTopic.totals]: this.#totals(endpoints).filter(
        ([, count]) => count > 0,
      ),
      [LoadTopic.included]: loads.countsOf(peer),
    };
  }

  /** Applies a peer's counts; returns the number of malformed entries. */
  receive(peer: RouterId, topics: TopicEntries, now: Instant): number {
    const loads = this.#loads;
    loads.onPeerHeard(peer, now);
    if (topics[LoadTopic.reset]) {
      loads.resetRelay(peer);
    }
    return (
      forEachAcceptedEntry(topics[LoadTopic.own], isCountEntry, entry => {
        this.#onPeerCount(peer, endpointId(entry[0]), entry[1], now);
      }) +
      forEachAcceptedEntry(topics[LoadTopic.totals], isCountEntry, entry => {
        loads.applyRelayTotal(peer, endpointId(entry[0]), entry[1], now);
      }) +
      forEachAcceptedEntry(topics[LoadTopic.included], isCountEntry, entry => {
        loads.applyOwnIncluded(peer, endpointId(entry[0]), entry[1], now);
      })
    );
  }

  #onPeerCount(
    peer: RouterId,
    endpoint: EndpointId,
    count: number,
    now: Instant,
  ): void {
    this.#loads.applyPeerCount(peer, endpoint, count, now);
    if (!this.#isRelay) {
      return;
    }
    const received = this.#received.get(peer) ?? new Map<EndpointId, number>();
    received.set(endpoint, count);
    this.#received.set(peer, received);
    this.#markTotalChanged(endpoint);
  }

  #markTotalChanged(endpoint: EndpointId): void {
    if (this.#isRelay) {
      this.#changedTotals.add(endpoint);
    }
  }

  #totals(endpoints: Iterable<EndpointId>): Count[] {
    return [...endpoints].map(id => [id, this.#loads.sum(id)]);
  }
}
