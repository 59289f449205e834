/**
 * One router's view of the load of every endpoint.
 *
 * Requests in flight from known routers are counted: this router's exactly, its
 * peers' as they sent their counts. Reports of an endpoint arrive late. Each is
 * compared with the counts at the time of its observation, and only the
 * difference (requests that no known router has in flight) is carried forward.
 * A request sent within the lag of a report is thus neither lost nor counted
 * twice.
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
  /** Typical age of peers' counts at their arrival. */
  readonly peerDelay: Milliseconds;
  /** Time over which reports are averaged if peers send their counts. */
  readonly averaging: Milliseconds;
  /** Time over which reports are averaged if they are the only source for peers' requests. */
  readonly averagingWithoutCounts: Milliseconds;
  /** Time constant with which an old report decays towards the mean load of endpoints. */
  readonly reportDecay: Milliseconds;
  /** Time after which peers' counts that were not repeated are dropped. */
  readonly peerHorizon: Milliseconds;
}

export const DEFAULT_LOAD_VIEW_SETTINGS: LoadViewSettings = {
  peerDelay: milliseconds(100),
  averaging: milliseconds(3000),
  averagingWithoutCounts: milliseconds(100),
  reportDecay: milliseconds(5000),
  peerHorizon: milliseconds(15_000),
};

/** Minimum weight of a new report in the average. */
const MIN_REPORT_GAIN = 0.2;

/** Weight of one report in the mean utilization of all endpoints. */
const MEAN_UTILIZATION_GAIN = 0.02;

/** Time after which a joining endpoint is assumed to have the mean load. */
const MEAN_LOAD_RAMP_TIME = milliseconds(30_000);

const LONG_AGO = instant(Number.NEGATIVE_INFINITY);

/** Time for which requests of unknown origin are counted without a newer report. */
const REPORT_HORIZON = milliseconds(30_000);

/** Maximum count that is accepted from a peer, as a multiple of the endpoint's capacity. */
const MAX_PEER_MULTIPLE = MAX_CAPACITY_MULTIPLE;

/** Requests in flight from one peer, with the sequence number that orders the peer's counts. */
interface PeerCount {
  readonly count: number;
  readonly sequence: number;
  readonly receivedAt: Instant;
}

interface EndpointLoad {
  readonly capacity: number;
  readonly joinedAt: Instant;
  /** This router's requests in flight. */
  readonly own: CountHistory;
  /** Requests in flight from its peers, by the counts that they sent. */
  readonly peersTotal: CountHistory;
  readonly peers: Map<RouterId, PeerCount>;
  /** Requests of unknown origin: average of reported load minus counted load. */
  unattributed: number;
  unattributedAt: Instant | undefined;
  /** Reports that wait until peers' counts for the time of observation have arrived. */
  readonly pending: { readonly at: Instant; readonly load: number }[];
}

/** Maximum number of pending reports of an endpoint; more in the same time add nothing. */
const MAX_PENDING_REPORTS = 16;

export class LoadView {
  readonly #settings: LoadViewSettings;
  readonly #endpoints = new Map<EndpointId, EndpointLoad>();
  /** Mean of reported load over capacity, for endpoints without a recent report. */
  #meanUtilization = 0;

  constructor(settings: LoadViewSettings = DEFAULT_LOAD_VIEW_SETTINGS) {
    this.#settings = settings;
  }

  /**
   * Starts to track the load of an endpoint, or updates its capacity. `joinedAt`
   * keeps a new endpoint without any report from being assumed to be loaded.
   */
  track(
    endpoint: EndpointId,
    capacity: number,
    joinedAt: Instant = LONG_AGO,
  ): void {
    const previous = this.#endpoints.get(endpoint);
    if (previous?.capacity === capacity) {
      return;
    }
    this.#endpoints.set(
      endpoint,
      previous
        ? { ...previous, capacity }
        : this.#emptyLoad(capacity, joinedAt),
    );
  }

  /** Removes an endpoint that is gone. */
  removeEndpoint(endpoint: EndpointId): void {
    this.#endpoints.delete(endpoint);
  }

  /** Records that this router sends a request to the endpoint. */
  onRequestStarted(endpoint: EndpointId, now: Instant): void {
    this.#addOwn(endpoint, 1, now);
  }

  /** Records that a request which this router sent has ended. */
  onRequestEnded(endpoint: EndpointId, now: Instant): void {
    if (this.ownInFlight(endpoint) > 0) {
      this.#addOwn(endpoint, -1, now);
    }
  }

  /** Endpoints whose load is tracked. */
  endpoints(): IterableIterator<EndpointId> {
    return this.#endpoints.keys();
  }

  capacity(endpoint: EndpointId): number {
    return this.#endpoints.get(endpoint)?.capacity ?? 0;
  }

  ownInFlight(endpoint: EndpointId): number {
    return this.#endpoints.get(endpoint)?.own.value ?? 0;
  }

  /** Requests in flight at the endpoint by the counts that peers sent. */
  peersInFlight(endpoint: EndpointId): number {
    return this.#endpoints.get(endpoint)?.peersTotal.value ?? 0;
  }

  /**
   * Applies a report of an endpoint's load, or returns why it is rejected. A
   * `selected` report was sent because the endpoint is loaded, so it says nothing
   * about the mean load.
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
    const validation = validateReport(report, load.capacity, now);
    if (validation.kind !== 'taken') {
      return validation;
    }
    if (load.pending.length >= MAX_PENDING_REPORTS) {
      load.pending.shift();
    }
    load.pending.push({ at: report.observedAt, load: validation.load });
    if (!selected) {
      this.#averageUtilization(validation.load / Math.max(1, load.capacity));
    }
    this.#applyPendingReports(load, now);
    return validation;
  }

  /**
   * Applies a peer's count of its own requests in flight. Returns false if the
   * count is malformed or too high, the endpoint is unknown, or a count with the
   * same or a higher sequence number was applied before.
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
    const previous = load.peers.get(peer);
    const isStale = previous !== undefined && previous.sequence >= sequence;
    if (isStale || count > load.capacity * MAX_PEER_MULTIPLE) {
      return false;
    }
    load.peers.set(peer, { count, sequence, receivedAt: now });
    if (previous) {
      load.peersTotal.add(count - previous.count, now);
    } else {
      this.#attributeToPeer(load, count);
    }
    return true;
  }

  /** Adds a request that a peer is about to send, until its next count arrives. */
  admitForPeer(peer: RouterId, endpoint: EndpointId, now: Instant): void {
    const load = this.#endpoints.get(endpoint);
    const previous = load?.peers.get(peer);
    if (load && previous) {
      load.peers.set(peer, { ...previous, count: previous.count + 1 });
      load.peersTotal.add(1, now);
    }
  }

  /** Adds a request of a peer that sends no counts; later reports include it. */
  admitWithoutCount(endpoint: EndpointId, now: Instant): void {
    this.#endpoints.get(endpoint)?.peersTotal.add(1, now);
  }

  /** Removes the counts of a peer that left. */
  removePeer(peer: RouterId): void {
    for (const load of this.#endpoints.values()) {
      this.#removeCount(load, peer);
    }
  }

  /** Removes counts that their peers have not repeated within the horizon. */
  expire(now: Instant): void {
    for (const load of this.#endpoints.values()) {
      for (const [peer, { receivedAt }] of load.peers) {
        if (elapsed(receivedAt, now) > this.#settings.peerHorizon) {
          this.#removeCount(load, peer);
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
      this.#applyPendingReports(load, now);
    }
    return load.peers.size > 0
      ? this.#estimateWithCounts(load, now)
      : this.#estimateWithoutCounts(load, now);
  }

  /** If peers send their counts, a report can raise the estimate above them but not lower it. */
  #estimateWithCounts(load: EndpointLoad, now: Instant): number {
    const { own, peersTotal, unattributed, unattributedAt } = load;
    const isRecent =
      unattributedAt !== undefined &&
      elapsed(unattributedAt, now) <= REPORT_HORIZON;
    return (
      own.value + peersTotal.value + (isRecent ? Math.max(0, unattributed) : 0)
    );
  }

  /** If peers send no counts, the weight of the last report decays with its age. */
  #estimateWithoutCounts(load: EndpointLoad, now: Instant): number {
    const { own, peersTotal, unattributed, unattributedAt } = load;
    const typical = Math.max(own.value, this.#typicalLoad(load, now));
    if (unattributedAt === undefined) {
      return typical;
    }
    const reported = own.value + Math.max(0, peersTotal.value + unattributed);
    const age = Math.max(0, elapsed(unattributedAt, now));
    const weight = Math.exp(-age / this.#settings.reportDecay);
    return Math.max(own.value, typical + weight * (reported - typical));
  }

  #emptyLoad(capacity: number, joinedAt: Instant): EndpointLoad {
    const span = milliseconds(MAX_REPORT_AGE + this.#settings.peerDelay);
    return {
      capacity,
      joinedAt,
      own: new CountHistory(span),
      peersTotal: new CountHistory(span),
      peers: new Map(),
      unattributed: 0,
      unattributedAt: undefined,
      pending: [],
    };
  }

  #addOwn(endpoint: EndpointId, by: number, now: Instant): void {
    this.#endpoints.get(endpoint)?.own.add(by, now);
  }

  /**
   * Moves the requests of a peer's first count from those of unknown origin,
   * where reports have counted them so far, to the peers' counts.
   */
  #attributeToPeer(load: EndpointLoad, count: number): void {
    load.peersTotal.shift(count);
    load.unattributed = Math.max(0, load.unattributed - count);
  }

  #removeCount(load: EndpointLoad, peer: RouterId): void {
    const previous = load.peers.get(peer);
    if (previous) {
      load.peers.delete(peer);
      load.peersTotal.shift(-previous.count);
    }
  }

  /** Applies the reports for whose time of observation the peers' counts have arrived. */
  #applyPendingReports(load: EndpointLoad, now: Instant): void {
    const { peerDelay } = this.#settings;
    const delay = load.peers.size > 0 ? peerDelay : milliseconds(0);
    for (
      let report = load.pending[0];
      report && addTime(report.at, delay) <= now;
      report = load.pending[0]
    ) {
      load.pending.shift();
      const counted =
        load.own.valueAt(report.at) +
        load.peersTotal.valueAt(addTime(report.at, delay));
      this.#averageUnattributed(load, report.load - counted, report.at);
    }
  }

  /** Assumed load of an endpoint without a report: the mean load, which is not near its bound. */
  #typicalLoad(load: EndpointLoad, now: Instant): number {
    const age = Math.max(0, elapsed(load.joinedAt, now));
    const ramp = Math.min(1, age / MEAN_LOAD_RAMP_TIME);
    return this.#meanUtilization * load.capacity * ramp;
  }

  #averageUtilization(utilization: number): void {
    const gain = this.#meanUtilization === 0 ? 1 : MEAN_UTILIZATION_GAIN;
    this.#meanUtilization +=
      gain * (Math.min(1, utilization) - this.#meanUtilization);
  }

  #averageUnattributed(
    load: EndpointLoad,
    unattributed: number,
    at: Instant,
  ): void {
    if (load.unattributedAt === undefined) {
      load.unattributed = unattributed;
      load.unattributedAt = at;
      return;
    }
    const age = Math.max(0, elapsed(load.unattributedAt, at));
    const { averaging, averagingWithoutCounts } = this.#settings;
    const hasCounts = load.peers.size > 0;
    const span = hasCounts ? averaging : averagingWithoutCounts;
    const gain = Math.max(
      hasCounts ? 0 : MIN_REPORT_GAIN,
      1 - Math.exp(-age / span),
    );
    load.unattributed += gain * (unattributed - load.unattributed);
    load.unattributedAt = at > load.unattributedAt ? at : load.unattributedAt;
  }
}
