/**
 * The watcher's side of an exact load check: it counts what it admits, so that
 * routers that ask at the same moment do not all see the same free place.
 */
import type { EndpointId, RouterId } from '../types/ids';
import type { Instant } from '../types/units';
import type { LoadView } from './load-view';

/** Asked of an endpoint's watcher before a request is sent there. */
export interface LoadQuestion {
  readonly endpoint: EndpointId;
  /** The asking router's own requests in flight there, without the new one. */
  readonly count: number;
  /** Orders the asking router's counts. */
  readonly sequence: number;
  /** The most requests that the asking router lets the endpoint carry. */
  readonly limit: number;
}

export interface LoadAnswer {
  readonly admitted: boolean;
  /** Requests in flight at the endpoint, without the new one. */
  readonly load: number;
}

export class LoadKeeper {
  readonly #view: LoadView;

  constructor(view: LoadView) {
    this.#view = view;
  }

  /** Admits a request while the endpoint stays within the limit, and counts it. */
  ask(peer: RouterId, question: LoadQuestion, now: Instant): LoadAnswer {
    const { endpoint, count, sequence, limit } = question;
    this.#view.peerCount(peer, endpoint, count, sequence, now);
    const load = this.#view.estimate(endpoint, now);
    const admitted = load + 1 <= limit;
    if (admitted) {
      this.#view.peerCount(peer, endpoint, count + 1, sequence + 1, now);
    }
    return { admitted, load };
  }
}
