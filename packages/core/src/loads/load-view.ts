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
import { addTime, elapsed, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { CountHistory } from './count-history';
import { judgeReport, maxCapacityMultiple, maxReportAge } from './load-report';
import type { LoadReport, ReportVerdict } from './load-report';

export interface LoadViewSettings {
  /** Typical age of peers' counts when they arrive. */
  readonly peerDelay: Milliseconds;
  /** Time over which reports are averaged. */
  readonly averaging: Milliseconds;
  /** Peers' counts that were not repeated for this long are dropped. */
  readonly peerHorizon: Milliseconds;
}

export const defaultLoadViewSettings: LoadViewSettings = {
  peerDelay: milliseconds(400),
  averaging: milliseconds(1000),
  peerHorizon: milliseconds(15_000),
};

/** Least part of a new report that enters the average. */
const minReportGain = 0.2;

/** The most requests that a peer may claim to have in flight, in multiples of capacity. */
const maxPeerMultiple = maxCapacityMultiple;

/** In-flight requests of one peer, with the sequence number that orders them. */
interface PeerCount {
  readonly count: number;
  readonly sequence: number;
  readonly heardAt: Instant;
}

interface EndpointLoad {
  readonly capacity: number;
  own: number;
  readonly peers: Map<RouterId, PeerCount>;
  /** Requests in flight from this router and its peers. */
  readonly known: CountHistory;
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

  constructor(settings: LoadViewSettings = defaultLoadViewSettings) {
    this.#settings = settings;
  }

  /** Starts to keep the load of an endpoint; a changed capacity is taken over. */
  track(endpoint: EndpointId, capacity: number): void {
    const kept = this.#endpoints.get(endpoint);
    if (kept?.capacity === capacity) {
      return;
    }
    this.#endpoints.set(
      endpoint,
      kept ? { ...kept, capacity } : this.#emptyLoad(capacity),
    );
  }

  /** Drops an endpoint that is gone. */
  forget(endpoint: EndpointId): void {
    this.#endpoints.delete(endpoint);
  }

  /** Notes that this router sends a request to the endpoint. */
  started(endpoint: EndpointId, now: Instant): void {
    this.#addOwn(endpoint, 1, now);
  }

  /** Notes that a request which this router sent has ended. */
  finished(endpoint: EndpointId, now: Instant): void {
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
    return this.#endpoints.get(endpoint)?.own ?? 0;
  }

  /** Takes a report of an endpoint's load, or says why it is not believed. */
  report(
    endpoint: EndpointId,
    report: LoadReport,
    now: Instant,
  ): ReportVerdict {
    const load = this.#endpoints.get(endpoint);
    if (!load) {
      return { kind: 'unknown-endpoint' };
    }
    const verdict = judgeReport(report, load.capacity, now);
    if (verdict.kind !== 'taken') {
      return verdict;
    }
    if (load.pending.length >= maxPendingReports) {
      load.pending.shift();
    }
    load.pending.push({ at: report.observedAt, load: verdict.load });
    this.#settle(load, now);
    return verdict;
  }

  /**
   * Takes a peer's count of its own requests in flight. Returns false when it is
   * malformed, unknown or older than what is kept.
   */
  peerCount(
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
    load.known.add(count - (kept?.count ?? 0), now);
    return true;
  }

  /** Drops the counts of a peer that left. */
  forgetPeer(peer: RouterId): void {
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
    const { unknownAt } = load;
    const heard =
      unknownAt !== undefined && elapsed(unknownAt, now) <= maxReportAge;
    return load.known.value + (heard ? Math.max(0, load.unknown) : 0);
  }

  #emptyLoad(capacity: number): EndpointLoad {
    return {
      capacity,
      own: 0,
      peers: new Map(),
      known: new CountHistory(
        milliseconds(maxReportAge + this.#settings.peerDelay),
      ),
      unknown: 0,
      unknownAt: undefined,
      pending: [],
    };
  }

  #addOwn(endpoint: EndpointId, by: number, now: Instant): void {
    const load = this.#endpoints.get(endpoint);
    if (load) {
      load.own += by;
      load.known.add(by, now);
    }
  }

  #dropPeer(load: EndpointLoad, peer: RouterId): void {
    const kept = load.peers.get(peer);
    if (kept) {
      load.peers.delete(peer);
      load.known.correct(-kept.count);
    }
  }

  /** Averages in the reports for whose time the peers' counts have arrived. */
  #settle(load: EndpointLoad, now: Instant): void {
    for (
      let report = load.pending[0];
      report && addTime(report.at, this.#settings.peerDelay) <= now;
      report = load.pending[0]
    ) {
      load.pending.shift();
      const knownThen = load.known.valueAt(
        addTime(report.at, this.#settings.peerDelay),
      );
      this.#average(load, report.load - knownThen, report.at);
    }
  }

  #average(load: EndpointLoad, unknown: number, at: Instant): void {
    if (load.unknownAt === undefined) {
      load.unknown = unknown;
      load.unknownAt = at;
      return;
    }
    const age = Math.max(0, elapsed(load.unknownAt, at));
    const gain = Math.max(
      minReportGain,
      1 - Math.exp(-age / this.#settings.averaging),
    );
    load.unknown += gain * (unknown - load.unknown);
    load.unknownAt = at > load.unknownAt ? at : load.unknownAt;
  }
}
