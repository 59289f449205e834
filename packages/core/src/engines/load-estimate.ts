/**
 * Estimates how many requests an endpoint has from the whole fleet: this
 * router's own exactly, those of peers as they told them, and, where peers told
 * nothing lately, what the endpoint said with its last answer.
 */
import type { EndpointId, RouterId } from '../types/ids';
import { elapsed, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Time after which a peer's count is no longer believed. */
const PEER_COUNT_AGE: Milliseconds = milliseconds(3000);
/** Time in which what an endpoint said of itself loses its weight. */
const REPORT_AGE: Milliseconds = milliseconds(2000);

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

  /** Requests that this router has at the endpoint. */
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

  /** Takes what an endpoint said of itself: running and waiting requests. */
  onLoadReport(endpoint: EndpointId, requests: number, now: Instant): void {
    const row = this.#row(endpoint);
    row.report = { others: Math.max(0, requests - row.own), at: now };
  }

  /** Takes a peer's count of its own requests at an endpoint. */
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

  /** Notes that those who tell peers' counts were heard of, so that these still hold. */
  refreshPeerCounts(now: Instant): void {
    for (const counts of this.#peers.values()) {
      for (const count of counts.values()) {
        count.at = now;
      }
    }
  }

  /** Forgets a peer that is gone; returns the endpoints at which it had requests. */
  removePeer(peer: RouterId): EndpointId[] {
    const counts = this.#peers.get(peer);
    this.#peers.delete(peer);
    return [...(counts ?? [])]
      .filter(([, { value }]) => value > 0)
      .map(([endpoint]) => endpoint);
  }

  /** Every count of every peer, for a router that has just connected. */
  *peerCounts(): Generator<[RouterId, EndpointId, number]> {
    for (const [peer, counts] of this.#peers) {
      for (const [endpoint, { value }] of counts) {
        if (value > 0) {
          yield [peer, endpoint, value];
        }
      }
    }
  }

  /** Forgets an endpoint that is gone or started anew. */
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

  /** Requests of the whole fleet at the endpoint. */
  total(endpoint: EndpointId, now: Instant): number {
    const row = this.#rows.get(endpoint);
    const told = this.#toldByPeers(endpoint, now);
    return (row?.own ?? 0) + (told ?? this.#reportedOthers(row, now));
  }

  #toldByPeers(endpoint: EndpointId, now: Instant): number | undefined {
    if (this.#peers.size === 0) {
      return undefined;
    }
    let sum = 0;
    for (const counts of this.#peers.values()) {
      const count = counts.get(endpoint);
      if (count && elapsed(count.at, now) <= PEER_COUNT_AGE) {
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
    return row.report.others * Math.max(0, 1 - age / REPORT_AGE);
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
