/**
 * Owner side of an exact load check. The owner counts each request that it
 * admits, so that routers that check at the same time do not all see the same
 * free slot.
 */
import type { EndpointId, RouterId } from '../types/ids';
import type { Instant } from '../types/units';
import type { LoadOwners } from './load-owners';
import type { LoadView } from './load-view';

/** Sent to an endpoint's primary owner before a request is sent to the endpoint. */
export interface LoadCheckRequest {
  readonly endpoint: EndpointId;
  /** The sending router's own requests in flight there, without the new one. */
  readonly count: number;
  /** Orders the sending router's counts. */
  readonly sequence: number;
  /** Maximum requests that the endpoint may carry, as the sending router computed it. */
  readonly limit: number;
}

export interface LoadCheckResponse {
  readonly admitted: boolean;
  /** Requests in flight at the endpoint, without the new one. */
  readonly load: number;
  /** Requests in flight at other endpoints that the responding router owns. */
  readonly others: readonly OwnedLoad[];
}

export interface OwnedLoad {
  readonly endpoint: EndpointId;
  readonly load: number;
}

/** Maximum number of other endpoints in one response. */
const MAX_OTHER_LOADS = 16;

export class LoadOwner {
  readonly #self: RouterId;
  readonly #view: LoadView;
  readonly #owners: LoadOwners;

  constructor(self: RouterId, view: LoadView, owners: LoadOwners) {
    this.#self = self;
    this.#view = view;
    this.#owners = owners;
  }

  /** Admits the request and counts it if the endpoint stays within the limit. */
  check(
    peer: RouterId,
    request: LoadCheckRequest,
    now: Instant,
  ): LoadCheckResponse {
    const { endpoint, count, sequence, limit } = request;
    const isSmallFleet = this.#owners.isSmallFleet;
    if (isSmallFleet) {
      this.#view.applyPeerCount(peer, endpoint, count, sequence, now);
    }
    const load = this.#view.estimate(endpoint, now);
    const admitted = Math.round(load) + 1 <= limit;
    if (admitted && isSmallFleet) {
      this.#view.admitForPeer(peer, endpoint, now);
    }
    if (admitted && !isSmallFleet) {
      this.#view.admitWithoutCount(endpoint, now);
    }
    return { admitted, load, others: this.#othersThan(endpoint, now) };
  }

  #othersThan(excluded: EndpointId, now: Instant): OwnedLoad[] {
    const others: OwnedLoad[] = [];
    if (!this.#owners.isSmallFleet) {
      return others;
    }
    for (const endpoint of this.#view.endpoints()) {
      const isOwned = this.#owners.ownersOf(endpoint).includes(this.#self);
      if (isOwned && endpoint !== excluded && others.length < MAX_OTHER_LOADS) {
        others.push({ endpoint, load: this.#view.estimate(endpoint, now) });
      }
    }
    return others;
  }
}
