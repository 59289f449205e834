/**
 * The keeper's side of an exact load check: it counts what it admits, so that
 * routers that ask at the same moment do not all see the same free place.
 */
import type { EndpointId, RouterId } from '../types/ids';
import type { Instant } from '../types/units';
import type { LoadOwners } from './load-owners';
import type { LoadView } from './load-view';

/** Asked of an endpoint's first keeper before a request is sent there. */
export interface LoadCheckRequest {
  readonly endpoint: EndpointId;
  /** The asking router's own requests in flight there, without the new one. */
  readonly count: number;
  /** Orders the asking router's counts. */
  readonly sequence: number;
  /** The most requests that the asking router lets the endpoint carry. */
  readonly limit: number;
}

export interface LoadCheckResponse {
  readonly admitted: boolean;
  /** Requests in flight at the endpoint, without the new one. */
  readonly load: number;
  /** Requests in flight at the other endpoints whose load this router keeps. */
  readonly others: readonly OwnedLoad[];
}

export interface OwnedLoad {
  readonly endpoint: EndpointId;
  readonly load: number;
}

/** An answer names at most this many other endpoints. */
const maxOthers = 16;

export class LoadOwner {
  readonly #self: RouterId;
  readonly #view: LoadView;
  readonly #keepers: LoadOwners;

  constructor(self: RouterId, view: LoadView, keepers: LoadOwners) {
    this.#self = self;
    this.#view = view;
    this.#keepers = keepers;
  }

  /** Admits a request while the endpoint stays within the limit, and counts it. */
  check(
    peer: RouterId,
    question: LoadCheckRequest,
    now: Instant,
  ): LoadCheckResponse {
    const { endpoint, count, sequence, limit } = question;
    const small = this.#keepers.isSmallFleet;
    if (small) {
      this.#view.applyPeerCount(peer, endpoint, count, sequence, now);
    }
    const load = this.#view.estimate(endpoint, now);
    const admitted = Math.round(load) + 1 <= limit;
    if (admitted && small) {
      this.#view.admitForPeer(peer, endpoint, now);
    }
    if (admitted && !small) {
      this.#view.admitWithoutCount(endpoint, now);
    }
    return { admitted, load, others: this.#othersThan(endpoint, now) };
  }

  #othersThan(asked: EndpointId, now: Instant): OwnedLoad[] {
    const others: OwnedLoad[] = [];
    if (!this.#keepers.isSmallFleet) {
      return others;
    }
    for (const endpoint of this.#view.endpoints()) {
      const kept = this.#keepers.ownersOf(endpoint).includes(this.#self);
      if (kept && endpoint !== asked && others.length < maxOthers) {
        others.push({ endpoint, load: this.#view.estimate(endpoint, now) });
      }
    }
    return others;
  }
}
