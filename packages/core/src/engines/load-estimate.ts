/**
 * Estimates the requests of all routers at an endpoint: this router's own
 * exactly, plus the counts that peers sent, or, without peers, the load that the
 * endpoint reported with its last response.
 */
import type { EndpointId, RouterId } from '../types/ids';
import { elapsed, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Age above which a peer's count is ignored. */
const MAX_PEER_COUNT_AGE: Milliseconds = milliseconds(3000);
/** Age at which an endpoint's own report has lost all its weight. */
const REPORT_DECAY_TIME: Milliseconds = milliseconds(2000);

interface Count {
  value: number;
  at: Instant;
}

interface Report {
  /** Requests of other routers at the time of the report. */
  readonly others: number;
  readonly at: Instant;
}

interface Row {
  own: number;
  report: Report | undefined;
}

export class LoadEstimate {
  readonly #rows = new Map<EndpointId, Row>();
  readonly #peers = new Map<RouterId, Map<EndpointId, Count>>();

  /** This router's requests in flight at the endpoint. */
  ownInFlight(endpoint: EndpointId): number {
    return this.#rows.get(endpoint)?.own ?? 0;
  }

  onRequestStarted(endpoint: EndpointId): void {
    this.#row(endpoint).own += 1;
  }

  onRequestEnded(endpoint: EndpointId): void {
    const row = this.#row(endpoint);
    row.own = Math.max(0, row.own - 1);
  }

  /** Applies the number of running and waiting requests that an endpoint reported. */
  onLoadReport(endpoint: EndpointId, requests: number, now: Instant): void {
    const row = this.#row(endpoint);
    row.report = { others: Math.max(0, requests - row.own), at: now };
  }

  /** Applies a peer's count of its own requests at an endpoint. */
  applyPeerCount(
    peer: RouterId,
    endpoint: EndpointId,
    count: number,
    now: Instant,
  ): void {
    const counts = this.#peers.get(peer) ?? new Map<EndpointId, Count>();
    counts.set(endpoint, { value: count, at: now });
    this.#peers.set(peer, counts);
  }

  /** Renews the age of all counts; called while their sources are known to be connected. */
  refreshPeerCounts(now: Instant): void {
    for (const counts of this.#peers.values()) {
      for (const count of counts.values()) {
        count.at = now;
      }
    }
  }

  /** Removes a peer that is gone; returns the endpoints at which it had requests. */
  removePeer(peer: RouterId): EndpointId[] {
    const counts = this.#peers.get(peer);
    this.#peers.delete(peer);
    return [...(counts ?? [])]
      .filter(([, { value }]) => value > 0)
      .map(([endpoint]) => endpoint);
  }

  /** Yields every positive count of every peer, for a router that has just connected. */
  *peerCounts(): Generator<[RouterId, EndpointId, number]> {
    for (const [peer, counts] of this.#peers) {
      for (const [endpoint, { value }] of counts) {
        if (value > 0) {
          yield [peer, endpoint, value];
        }
      }
    }
  }

  /** Removes an endpoint that is gone or has restarted; this router's own requests stay counted. */
  removeEndpoint(endpoint: EndpointId): void {
    const own = this.ownInFlight(endpoint);
    this.#rows.delete(endpoint);
    if (own > 0) {
      this.#row(endpoint).own = own;
    }
    for (const counts of this.#peers.values()) {
      counts.delete(endpoint);
    }
  }

  /** Estimated requests of all routers at the endpoint. */
  total(endpoint: EndpointId, now: Instant): number {
    const row = this.#rows.get(endpoint);
    const byPeers = this.#peersTotal(endpoint, now);
    return (row?.own ?? 0) + (byPeers ?? this.#reportedOthers(row, now));
  }

  #peersTotal(endpoint: EndpointId, now: Instant): number | undefined {
    if (this.#peers.size === 0) {
      return undefined;
    }
    let sum = 0;
    for (const counts of this.#peers.values()) {
      const count = counts.get(endpoint);
      if (count && elapsed(count.at, now) <= MAX_PEER_COUNT_AGE) {
        sum += count.value;
      }
    }
    return sum;
  }

  #reportedOthers(row: Row | undefined, now: Instant): number {
    if (!row?.report) {
      return 0;
    }
    const age = elapsed(row.report.at, now);
    return row.report.others * Math.max(0, 1 - age / REPORT_DECAY_TIME);
  }

  #row(endpoint: EndpointId): Row {
    let row = this.#rows.get(endpoint);
    if (!row) {
      row = { own: 0, report: undefined };
      this.#rows.set(endpoint, row);
    }
    return row;
  }
}
