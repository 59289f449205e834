/**
 * One router's view of the load of every endpoint.
 *
 * What routers have in flight is known: its own exactly, its peers' as they told
 * it. Reports of an endpoint are late; each is compared with what was known for
 * the time that it speaks of, and only the difference (requests that no known
 * router has in flight) is carried on to the present. A dispatch within the lag
 * of a report is thus neither lost nor counted twice.
 */
import type { EndpointId, RouterId } from '../types/ids';
import { addTime, elapsed, instant, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { CountHistory } from './count-history';
import {
  validateReport,
  MAX_CAPACITY_MULTIPLE,
  MAX_REPORT_AGE,
} from './load-report';
import type { LoadReport, ReportValidation } from './load-report';

export interface LoadViewSettings {
  /** Typical age of peers' counts when they arrive. */
  readonly peerDelay: Milliseconds;
  /** Time over which reports are averaged where peers' counts are told. */
  readonly averaging: Milliseconds;
  /** The same where only reports tell what peers do. */
  readonly averagingWithoutCounts: Milliseconds;
  /** Time over which an old report gives way to the average load of endpoints. */
  readonly reportDecay: Milliseconds;
  /** Peers' counts that were not repeated for this long are dropped. */
  readonly peerHorizon: Milliseconds;
}

export const DEFAULT_LOAD_VIEW_SETTINGS: LoadViewSettings = {
  peerDelay: milliseconds(100),
  averaging: milliseconds(3000),
  averagingWithoutCounts: milliseconds(100),
  reportDecay: milliseconds(5000),
  peerHorizon: milliseconds(15_000),
};

/** Least part of a new report that enters the average. */
const minReportGain = 0.2;

/** Part of one report that enters the average over all endpoints. */
const meanFillGain = 0.02;

/** Time in which a joining endpoint is taken to reach the average load. */
const fillTime = milliseconds(30_000);

const longAgo = instant(Number.NEGATIVE_INFINITY);

/** Without a newer report, requests of unknown origin are reckoned with this long. */
const reportHorizon = milliseconds(30_000);

/** The most requests that a peer may claim to have in flight, in multiples of capacity. */
const maxPeerMultiple = MAX_CAPACITY_MULTIPLE;

/** In-flight requests of one peer, with the sequence number that orders them. */
interface PeerCount {
  readonly count: number;
  readonly sequence: number;
  readonly heardAt: Instant;
}

interface EndpointLoad {
  readonly capacity: number;
  readonly joinedAt: Instant;
  /** This router's requests in flight. */
  readonly own: CountHistory;
  /** Requests in flight from its peers, as they were told. */
  readonly told: CountHistory;
  readonly peers: Map<RouterId, PeerCount>;
  /** Average of reported load less known load; requests of unknown origin. */
  unknown: number;
  unknownAt: Instant | undefined;
  /** Reports that wait until peers' counts for their time have arrived. */
  readonly pending: { readonly at: Instant; readonly load: number }[];
}

/** A few reports wait at most; more in the same time add nothing. */
const maxPendingReports = 16;

export class LoadView {
  readonly #settings: LoadViewSettings;
  readonly #endpoints = new Map<EndpointId, EndpointLoad>();
  /** Average of reported load over capacity, for endpoints not heard of. */
  #meanFill = 0;

  constructor(settings: LoadViewSettings = DEFAULT_LOAD_VIEW_SETTINGS) {
    this.#settings = settings;
  }

  /**
   * Starts to keep the load of an endpoint; a changed capacity is taken over.
   * `joinedAt` keeps an endpoint that nobody told about from being taken for a
   * loaded one.
   */
  track(
    endpoint: EndpointId,
    capacity: number,
    joinedAt: Instant = longAgo,
  ): void {
    const kept = this.#endpoints.get(endpoint);
    if (kept?.capacity === capacity) {
      return;
    }
    this.#endpoints.set(
      endpoint,
      kept ? { ...kept, capacity } : this.#emptyLoad(capacity, joinedAt),
    );
  }

  /** Drops an endpoint that is gone. */
  removeEndpoint(endpoint: EndpointId): void {
    this.#endpoints.delete(endpoint);
  }

  /** Notes that this router sends a request to the endpoint. */
  onRequestStarted(endpoint: EndpointId, now: Instant): void {
    this.#addOwn(endpoint, 1, now);
  }

  /** Notes that a request which this router sent has ended. */
  onRequestEnded(endpoint: EndpointId, now: Instant): void {
    if (this.ownInFlight(endpoint) > 0) {
      this.#addOwn(endpoint, -1, now);
    }
  }

  /** Endpoints whose load is kept. */
  endpoints(): IterableIterator<EndpointId> {
    return this.#endpoints.keys();
  }

  capacity(endpoint: EndpointId): number {
    return this.#endpoints.get(endpoint)?.capacity ?? 0;
  }

  ownInFlight(endpoint: EndpointId): number {
    return this.#endpoints.get(endpoint)?.own.value ?? 0;
  }

  /** Requests that peers told to have in flight at the endpoint. */
  peersInFlight(endpoint: EndpointId): number {
    return this.#endpoints.get(endpoint)?.told.value ?? 0;
  }

  /**
   * Takes a report of an endpoint's load, or says why it is not believed. A
   * `selected` one came because the endpoint is loaded; it says nothing about
   * the average load.
   */
  applyReport(
    endpoint: EndpointId,
    report: LoadReport,
    now: Instant,
    selected = false,
  ): ReportValidation {
    const load = this.#endpoints.get(endpoint);
    if (!load) {
      return { kind: 'unknown-endpoint' };
    }
    const verdict = validateReport(report, load.capacity, now);
    if (verdict.kind !== 'taken') {
      return verdict;
    }
    if (load.pending.length >= maxPendingReports) {
      load.pending.shift();
    }
    load.pending.push({ at: report.observedAt, load: verdict.load });
    if (!selected) {
      this.#averageFill(verdict.load / Math.max(1, load.capacity));
    }
    this.#settle(load, now);
    return verdict;
  }

  /**
   * Takes a peer's count of its own requests in flight. Returns false when it is
   * malformed, unknown or older than what is kept.
   */
  applyPeerCount(
    peer: RouterId,
    endpoint: EndpointId,
    count: number,
    sequence: number,
    now: Instant,
  ): boolean {
    const load = this.#endpoints.get(endpoint);
    if (!load || !Number.isSafeInteger(count) || count < 0) {
      return false;
    }
    const kept = load.peers.get(peer);
    const stale = kept !== undefined && kept.sequence >= sequence;
    if (stale || count > load.capacity * maxPeerMultiple) {
      return false;
    }
    load.peers.set(peer, { count, sequence, heardAt: now });
    if (kept) {
      load.told.add(count - kept.count, now);
    } else {
      this.#takeOver(load, count);
    }
    return true;
  }

  /** Adds a request that a peer is about to send, until it tells its next count. */
  admitForPeer(peer: RouterId, endpoint: EndpointId, now: Instant): void {
    const load = this.#endpoints.get(endpoint);
    const kept = load?.peers.get(peer);
    if (load && kept) {
      load.peers.set(peer, { ...kept, count: kept.count + 1 });
      load.told.add(1, now);
    }
  }

  /** Adds a request of a peer that tells no counts; reports take it over. */
  admitWithoutCount(endpoint: EndpointId, now: Instant): void {
    this.#endpoints.get(endpoint)?.told.add(1, now);
  }

  /** Drops the counts of a peer that left. */
  removePeer(peer: RouterId): void {
    for (const load of this.#endpoints.values()) {
      this.#dropPeer(load, peer);
    }
  }

  /** Drops counts that their peers have not repeated within the horizon. */
  expire(now: Instant): void {
    for (const load of this.#endpoints.values()) {
      for (const [peer, { heardAt }] of load.peers) {
        if (elapsed(heardAt, now) > this.#settings.peerHorizon) {
          this.#dropPeer(load, peer);
        }
      }
    }
  }

  /** Estimates the endpoint's requests in flight; 0 when it is not tracked. */
  estimate(endpoint: EndpointId, now: Instant): number {
    const load = this.#endpoints.get(endpoint);
    if (!load) {
      return 0;
    }
    if (load.pending.length > 0) {
      this.#settle(load, now);
    }
    return load.peers.size > 0
      ? this.#toldEstimate(load, now)
      : this.#untoldEstimate(load, now);
  }

  /** Where peers tell their counts, a report can add to them but not take away. */
  #toldEstimate(load: EndpointLoad, now: Instant): number {
    const { own, told, unknown, unknownAt } = load;
    const heard =
      unknownAt !== undefined && elapsed(unknownAt, now) <= reportHorizon;
    return own.value + told.value + (heard ? Math.max(0, unknown) : 0);
  }

  /** Where peers tell nothing, the last report counts the less the older it is. */
  #untoldEstimate(load: EndpointLoad, now: Instant): number {
    const { own, told, unknown, unknownAt } = load;
    const usual = Math.max(own.value, this.#usualLoad(load, now));
    if (unknownAt === undefined) {
      return usual;
    }
    const reported = own.value + Math.max(0, told.value + unknown);
    const age = Math.max(0, elapsed(unknownAt, now));
    const weight = Math.exp(-age / this.#settings.reportDecay);
    return Math.max(own.value, usual + weight * (reported - usual));
  }

  #emptyLoad(capacity: number, joinedAt: Instant): EndpointLoad {
    const span = milliseconds(MAX_REPORT_AGE + this.#settings.peerDelay);
    return {
      capacity,
      joinedAt,
      own: new CountHistory(span),
      told: new CountHistory(span),
      peers: new Map(),
      unknown: 0,
      unknownAt: undefined,
      pending: [],
    };
  }

  #addOwn(endpoint: EndpointId, by: number, now: Instant): void {
    this.#endpoints.get(endpoint)?.own.add(by, now);
  }

  /**
   * Moves a peer's first count from the requests of unknown origin, which
   * reports have counted so far, to the told ones.
   */
  #takeOver(load: EndpointLoad, count: number): void {
    load.told.shift(count);
    load.unknown = Math.max(0, load.unknown - count);
  }

  #dropPeer(load: EndpointLoad, peer: RouterId): void {
    const kept = load.peers.get(peer);
    if (kept) {
      load.peers.delete(peer);
      load.told.shift(-kept.count);
    }
  }

  /** Averages in the reports for whose time the peers' counts have arrived. */
  #settle(load: EndpointLoad, now: Instant): void {
    const { peerDelay } = this.#settings;
    const delay = load.peers.size > 0 ? peerDelay : milliseconds(0);
    for (
      let report = load.pending[0];
      report && addTime(report.at, delay) <= now;
      report = load.pending[0]
    ) {
      load.pending.shift();
      const known =
        load.own.valueAt(report.at) +
        load.told.valueAt(addTime(report.at, delay));
      this.#average(load, report.load - known, report.at);
    }
  }

  /** Load of an endpoint of which nothing was heard: it is not near its bound. */
  #usualLoad(load: EndpointLoad, now: Instant): number {
    const age = Math.max(0, elapsed(load.joinedAt, now));
    const ramp = Math.min(1, age / fillTime);
    return this.#meanFill * load.capacity * ramp;
  }

  #averageFill(fill: number): void {
    const gain = this.#meanFill === 0 ? 1 : meanFillGain;
    this.#meanFill += gain * (Math.min(1, fill) - this.#meanFill);
  }

  #average(load: EndpointLoad, unknown: number, at: Instant): void {
    if (load.unknownAt === undefined) {
      load.unknown = unknown;
      load.unknownAt = at;
      return;
    }
    const age = Math.max(0, elapsed(load.unknownAt, at));
    const { averaging, averagingWithoutCounts: averagingUntold } =
      this.#settings;
    const told = load.peers.size > 0;
    const span = told ? averaging : averagingUntold;
    const gain = Math.max(told ? 0 : minReportGain, 1 - Math.exp(-age / span));
    load.unknown += gain * (unknown - load.unknown);
    load.unknownAt = at > load.unknownAt ? at : load.unknownAt;
  }
}
