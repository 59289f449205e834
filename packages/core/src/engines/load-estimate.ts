/**
 * Estimates the requests of all routers at an endpoint: this router's own
 * exactly, plus those of the others. A relay adds up the counts that the others
 * send it. Any other router takes the fleet's totals from its relays, without the
 * part of them that is its own. Without either, the load that the endpoint
 * reported with its last response is used. With them, a recent report corrects
 * this router's own placements, and never what it sends to other routers.
 */
import { EndpointSpeeds } from '../loads/endpoint-speeds';
import type { EndpointId, RouterId } from '../types/ids';
import { elapsed, instant, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Age above which a peer's counts or totals are ignored. */
const MAX_PEER_COUNT_AGE: Milliseconds = milliseconds(3000);
/**
 * Time by which a relay may have been heard before the one heard last for its totals to count.
 * The relay that is not the first one sends them every 250 ms, so that they are out of date in
 * between.
 */
const MAX_RELAY_LAG: Milliseconds = milliseconds(300);
/** Age at which an endpoint's own report has lost all its weight. */
const REPORT_DECAY_TIME: Milliseconds = milliseconds(2000);

interface Report {
  /** Requests of other routers at the time of the report. */
  readonly others: number;
  readonly at: Instant;
}

interface Row {
  own: number;
  /** Sum of the peers' counts. */
  peers: number;
  report: Report | undefined;
}

interface PeerCounts {
  readonly counts: Map<EndpointId, number>;
  heardAt: Instant;
}

/** What a relay has sent. */
interface RelayTotals {
  /** Requests of all routers, as far as the relay knows them. */
  readonly totals: Map<EndpointId, number>;
  /** This router's own requests that the totals include. */
  readonly ownIncluded: Map<EndpointId, number>;
  heardAt: Instant;
}

/** An endpoint as it counts for a placement by this router. */
export interface EndpointView {
  /** This router's requests at the endpoint. */
  readonly own: number;
  /** Those of other routers, as this router sees them. */
  readonly others: number;
  /** Requests to be added to those of the others by the endpoint's own report. */
  readonly correction: number;
  /** Fraction, in 0..1, of its usual speed at which the endpoint runs; undefined if it states none. */
  readonly speed: number | undefined;
}

export class LoadEstimate {
  readonly #speeds = new EndpointSpeeds();
  readonly #rows = new Map<EndpointId, Row>();
  readonly #peers = new Map<RouterId, PeerCounts>();
  readonly #relays = new Map<RouterId, RelayTotals>();

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

  /**
   * Applies the number of running and waiting requests that an endpoint reported, and its slowdown.
   * A report without slowdown counts only if no peer is heard.
   */
  onLoadReport(
    endpoint: EndpointId,
    requests: number,
    now: Instant,
    slowdown?: number,
  ): void {
    const row = this.#row(endpoint);
    const others = Math.max(0, requests - row.own);
    row.report = { others, at: now };
    if (slowdown !== undefined) {
      this.#speeds.onReport(endpoint, { others, slowdown }, now);
    }
  }

  /** Applies a peer's count of its own requests at an endpoint. */
  applyPeerCount(
    peer: RouterId,
    endpoint: EndpointId,
    count: number,
    now: Instant,
  ): void {
    const known = this.#peers.get(peer) ?? {
      counts: new Map<EndpointId, number>(),
      heardAt: now,
    };
    known.heardAt = now;
    this.#row(endpoint).peers += count - (known.counts.get(endpoint) ?? 0);
    known.counts.set(endpoint, count);
    this.#peers.set(peer, known);
  }

  /**
   * Applies a relay's total of all routers' requests at an endpoint, and the part
   * of it that is this router's own.
   */
  applyRelayTotal(
    relay: RouterId,
    endpoint: EndpointId,
    total: number,
    now: Instant,
  ): void {
    const known = this.#relay(relay, now);
    known.totals.set(endpoint, total);
  }

  /** Records which of this router's own requests the totals of a relay include. */
  applyOwnIncluded(
    relay: RouterId,
    endpoint: EndpointId,
    count: number,
    now: Instant,
  ): void {
    this.#relay(relay, now).ownIncluded.set(endpoint, count);
  }

  /** Drops the totals of a relay that is about to send all of them. */
  resetRelay(relay: RouterId): void {
    this.#relays.delete(relay);
  }

  /** Renews the age of what a peer has sent; called while the peer is heard. */
  onPeerHeard(peer: RouterId, now: Instant): void {
    const counts = this.#peers.get(peer);
    if (counts) {
      counts.heardAt = now;
    }
    const totals = this.#relays.get(peer);
    if (totals) {
      totals.heardAt = now;
    }
  }

  /** Removes a peer that is gone; returns the endpoints at which it had requests. */
  removePeer(peer: RouterId): EndpointId[] {
    const known = this.#peers.get(peer);
    this.#peers.delete(peer);
    this.#relays.delete(peer);
    const endpoints: EndpointId[] = [];
    for (const [endpoint, count] of known?.counts ?? []) {
      if (count > 0) {
        this.#row(endpoint).peers -= count;
        endpoints.push(endpoint);
      }
    }
    return endpoints;
  }

  /** The positive counts that a peer has sent. */
  countsOf(peer: RouterId): [EndpointId, number][] {
    return [...(this.#peers.get(peer)?.counts ?? [])].filter(
      ([, count]) => count > 0,
    );
  }

  /** Requests of this router and of all peers at the endpoint, for a relay to pass on. */
  sum(endpoint: EndpointId): number {
    const row = this.#rows.get(endpoint);
    return row ? row.own + row.peers : 0;
  }

  /** Removes an endpoint that is gone or has restarted; this router's own requests stay counted. */
  removeEndpoint(endpoint: EndpointId): void {
    const own = this.ownInFlight(endpoint);
    this.#rows.delete(endpoint);
    this.#speeds.remove(endpoint);
    if (own > 0) {
      this.#row(endpoint).own = own;
    }
    for (const { counts } of this.#peers.values()) {
      counts.delete(endpoint);
    }
    for (const { totals, ownIncluded } of this.#relays.values()) {
      totals.delete(endpoint);
      ownIncluded.delete(endpoint);
    }
  }

  /** Estimated requests of all routers at the endpoint. */
  total(endpoint: EndpointId, now: Instant): number {
    const row = this.#rows.get(endpoint);
    const others = this.#others(endpoint, row, now);
    return (row?.own ?? 0) + others;
  }

  /** What a placement takes into account. */
  view(endpoint: EndpointId, now: Instant): EndpointView {
    const row = this.#rows.get(endpoint);
    const counted = this.#countedOthers(endpoint, row, now);
    return {
      own: row?.own ?? 0,
      others: counted ?? this.#reportedOthers(row, now),
      correction:
        counted === undefined
          ? 0
          : this.#speeds.correction(endpoint, counted, now),
      speed: this.#speeds.speed(endpoint, now),
    };
  }

  /** Time since a peer or relay was last heard; undefined if none is known. */
  viewAge(now: Instant): Milliseconds | undefined {
    let age: Milliseconds | undefined;
    for (const known of [this.#peers, this.#relays]) {
      for (const { heardAt } of known.values()) {
        const sinceHeard = elapsed(heardAt, now);
        if (age === undefined || sinceHeard < age) {
          age = sinceHeard;
        }
      }
    }
    return age;
  }

  #others(endpoint: EndpointId, row: Row | undefined, now: Instant): number {
    return (
      this.#countedOthers(endpoint, row, now) ?? this.#reportedOthers(row, now)
    );
  }

  /** Returns undefined if no peer has been heard of late. */
  #countedOthers(
    endpoint: EndpointId,
    row: Row | undefined,
    now: Instant,
  ): number | undefined {
    const byRelays = this.#othersByRelays(endpoint, now);
    const byPeers = this.#hasHeardPeer(now) ? (row?.peers ?? 0) : undefined;
    return byRelays === undefined && byPeers === undefined
      ? undefined
      : Math.max(byRelays ?? 0, byPeers ?? 0);
  }

  /** The highest of the relays' views, as a relay that has lost a router counts too few. */
  #othersByRelays(endpoint: EndpointId, now: Instant): number | undefined {
    let others: number | undefined;
    const newest = this.#relayHeardAt;
    for (const { totals, ownIncluded, heardAt } of this.#relays.values()) {
      if (
        elapsed(heardAt, now) > MAX_PEER_COUNT_AGE ||
        elapsed(heardAt, newest) > MAX_RELAY_LAG
      ) {
        continue;
      }
      const withoutOwn =
        (totals.get(endpoint) ?? 0) - (ownIncluded.get(endpoint) ?? 0);
      others = Math.max(others ?? 0, withoutOwn);
    }
    return others;
  }

  /** When a relay was last heard. */
  get #relayHeardAt(): Instant {
    let newest = instant(0);
    for (const { heardAt } of this.#relays.values()) {
      newest = heardAt > newest ? heardAt : newest;
    }
    return newest;
  }

  #hasHeardPeer(now: Instant): boolean {
    for (const { heardAt } of this.#peers.values()) {
      if (elapsed(heardAt, now) <= MAX_PEER_COUNT_AGE) {
        return true;
      }
    }
    return false;
  }

  #reportedOthers(row: Row | undefined, now: Instant): number {
    if (!row?.report) {
      return 0;
    }
    const age = elapsed(row.report.at, now);
    return row.report.others * Math.max(0, 1 - age / REPORT_DECAY_TIME);
  }

  #relay(relay: RouterId, now: Instant): RelayTotals {
    let known = this.#relays.get(relay);
    if (!known) {
      known = { totals: new Map(), ownIncluded: new Map(), heardAt: now };
      this.#relays.set(relay, known);
    }
    known.heardAt = now;
    return known;
  }

  #row(endpoint: EndpointId): Row {
    let row = this.#rows.get(endpoint);
    if (!row) {
      row = { own: 0, peers: 0, report: undefined };
      this.#rows.set(endpoint, row);
    }
    return row;
  }
}
