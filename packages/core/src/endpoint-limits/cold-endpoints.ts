/**
 * Endpoints that are cold and crash if they get more than a low rate of requests. This
 * router derives them from the list of endpoints and the configuration alone; permits
 * bound what all routers together send there.
 */
import { LRUCache } from 'lru-cache';

import type { EndpointEntry } from '../endpoints/endpoint-entry';
import type { ServiceConfiguration } from '../routes/fleet-configuration';
import type { EndpointId, ServiceId, ZoneId } from '../types/ids';
import { addTime, elapsed, instant, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { MAX_LIMIT_PER_SECOND } from './stated-rates';
import { SAVED_SECONDS, SAVED_TOKENS } from './token-bucket';

/**
 * Time beyond the stated ones for which an endpoint counts as cold. Times count from the
 * arrival of the news, which is later than the event, so that only rounding is left.
 */
const MARGIN: Milliseconds = seconds(0.5);
/** Largest difference between the wall clocks of an endpoint and a router. */
const MAX_CLOCK_DIFFERENCE: Milliseconds = seconds(1);
/**
 * Sum of the shares of two issuers at a time: the whole limit and the part of a stand-in,
 * which is more than that of the smaller side of a split fleet.
 */
const MAX_SHARES = 1.4;
/** Issuers that may have saved tokens at a time. */
const MAX_ISSUERS = 2;
/** Longest usual time from the issue of a permit to the arrival of its request, in seconds. */
const MAX_LATENESS_SECONDS = 0.2;
/** Instances that are remembered: several times the endpoints of the largest deployment. */
const MAX_ENDPOINTS = 4096;

export type ColdReason =
  /** In the first list, which names a recent start or none. */
  'recent-start' | 'listed' | 'restarted' | 'warm-up' | 'zone-reopened';

export type ColdChange =
  | {
      readonly kind: 'cold';
      readonly endpoint: EndpointId;
      readonly reason: ColdReason;
      /** Time until it is warm. */
      readonly remaining: Milliseconds;
      /** Permits a second. */
      readonly permitRate: number;
    }
  | {
      readonly kind: 'warm';
      readonly endpoint: EndpointId;
      readonly reason: 'elapsed' | 'gone' | 'configuration';
    };

export interface ColdEndpointsOptions {
  readonly service: (
    id: ServiceId,
  ) =>
    | Pick<ServiceConfiguration, 'coldTime' | 'coldRequestsPerSecond'>
    | undefined;
  /** Unix milliseconds of this router's clock. */
  readonly wallTime: () => number;
  /**
   * A cold endpoint may crash beyond `overage` times the requests a second of its service
   * and `slack`.
   */
  readonly overage: number;
  readonly slack: number;
}

/** What may make an endpoint cold, as of the arrival of the news. */
interface Known {
  readonly entry: EndpointEntry;
  readonly isListed: boolean;
  /** Latest time at which the instance may have started. */
  readonly startedAt: Instant;
  readonly startReason: ColdReason;
  /** End of the warm-up time in the newest row that names one. */
  readonly warmUpEndsAt: Instant | undefined;
  readonly reopenedAt: Instant | undefined;
}

/** A cold endpoint. */
interface ColdState {
  readonly startedAt: number | undefined;
  readonly permitRate: number;
}

export class ColdEndpoints {
  readonly #options: ColdEndpointsOptions;
  readonly #known = new LRUCache<EndpointId, Known>({ max: MAX_ENDPOINTS });
  readonly #cold = new Map<EndpointId, ColdState>();
  #listener: (change: ColdChange) => void = () => undefined;

  constructor(options: ColdEndpointsOptions) {
    this.#options = options;
  }

  /** Calls the listener with each change. */
  onChanged(listener: (change: ColdChange) => void): void {
    this.#listener = listener;
  }

  /** Number of cold endpoints. */
  get size(): number {
    return this.#cold.size;
  }

  /** Permits a second for all routers together; undefined if the endpoint is not cold. */
  permitRate({ id }: Pick<EndpointEntry, 'id'>): number | undefined {
    return this.#cold.get(id)?.permitRate;
  }

  /** Applies a row that has arrived; `isFirstList` if it is of the first list that this router got. */
  onEntry(entry: EndpointEntry, now: Instant, isFirstList: boolean): void {
    const before = this.#known.get(entry.id);
    const known: Known = {
      ...this.#startOf(entry, before, now, isFirstList),
      entry,
      isListed: true,
      warmUpEndsAt: warmUpEndOf(entry, before, now),
      reopenedAt: before?.reopenedAt,
    };
    this.#known.set(entry.id, known);
    this.#update(known, now);
  }

  /** Records that an endpoint is gone; its instance is remembered, as its row may only have lapsed. */
  onGone(id: EndpointId, now: Instant): void {
    const known = this.#known.get(id);
    if (known) {
      const gone = { ...known, isListed: false };
      this.#known.set(id, gone);
      this.#update(gone, now);
    }
  }

  /** Records that the evacuation of zones has ended. */
  onZonesReopened(zones: readonly ZoneId[], now: Instant): void {
    for (const [id, known] of [...this.#known.entries()]) {
      if (zones.includes(known.entry.zone)) {
        const reopened = { ...known, reopenedAt: now };
        this.#known.set(id, reopened);
        this.#update(reopened, now);
      }
    }
  }

  /** Applies the time that has passed, and a configuration that has changed. */
  tick(now: Instant): void {
    for (const known of this.#known.values()) {
      this.#update(known, now);
    }
  }

  #startOf(
    entry: EndpointEntry,
    before: Known | undefined,
    now: Instant,
    isFirstList: boolean,
  ): Pick<Known, 'startedAt' | 'startReason'> {
    const { startedAt } = entry;
    const lastStart = before?.entry.startedAt;
    const isSame =
      before !== undefined &&
      (startedAt === undefined || lastStart === undefined
        ? before.isListed
        : startedAt <= lastStart);
    if (isSame) {
      return before;
    }
    if (before && startedAt !== undefined && lastStart !== undefined) {
      return { startedAt: now, startReason: 'restarted' };
    }
    if (!isFirstList) {
      return { startedAt: now, startReason: 'listed' };
    }
    // The row may be old, so that its arrival says nothing of the start.
    const age =
      startedAt === undefined
        ? 0
        : this.#options.wallTime() - startedAt - MAX_CLOCK_DIFFERENCE;
    return {
      startedAt: instant(now - Math.max(0, age)),
      startReason: 'recent-start',
    };
  }

  #update(known: Known, now: Instant): void {
    const { entry, isListed } = known;
    const { id } = entry;
    const service = this.#options.service(entry.service);
    const before = this.#cold.get(id);
    const perSecond = service?.coldRequestsPerSecond ?? 0;
    if (!service || perSecond <= 0 || perSecond > MAX_LIMIT_PER_SECOND) {
      this.#end(id, 'configuration');
      return;
    }
    const { until, reason } = endOf(known, service.coldTime);
    const remaining = elapsed(now, until);
    if (!isListed || remaining <= 0) {
      this.#end(id, isListed ? 'elapsed' : 'gone');
      return;
    }
    const permitRate = this.#permitRateOf(perSecond);
    this.#cold.set(id, { startedAt: entry.startedAt, permitRate });
    if (!before || before.startedAt !== entry.startedAt) {
      this.#listener({
        kind: 'cold',
        endpoint: id,
        reason,
        remaining,
        permitRate,
      });
    }
  }

  #end(
    endpoint: EndpointId,
    reason: Extract<ColdChange, { kind: 'warm' }>['reason'],
  ): void {
    if (this.#cold.delete(endpoint)) {
      this.#listener({ kind: 'warm', endpoint, reason });
    }
  }

  /**
   * The rate of permits at which the arrivals of any second stay within the tolerated number,
   * with two issuers that have saved all their tokens and requests that arrive late.
   */
  #permitRateOf(perSecond: number): number {
    const { overage, slack } = this.#options;
    const tolerated = perSecond * overage + slack;
    const rate =
      (tolerated - MAX_ISSUERS * SAVED_TOKENS) /
      (MAX_SHARES * (1 + SAVED_SECONDS + MAX_LATENESS_SECONDS));
    return Math.max(0, Math.min(perSecond, rate));
  }
}

/**
 * When the warm-up time of a row ends. A row that repeats the time of the one before says
 * nothing new: an endpoint that always names the same one would never be warm.
 */
function warmUpEndOf(
  entry: EndpointEntry,
  before: Known | undefined,
  now: Instant,
): Instant | undefined {
  const isRepeated =
    before?.entry.warmUp === entry.warmUp &&
    before.entry.startedAt === entry.startedAt;
  return entry.warmUp > 0 && !isRepeated
    ? addTime(now, entry.warmUp)
    : before?.warmUpEndsAt;
}

/** When an endpoint is warm, and what makes it cold until then. */
function endOf(
  { startedAt, startReason, warmUpEndsAt, reopenedAt }: Known,
  coldTime: Milliseconds,
): { readonly until: Instant; readonly reason: ColdReason } {
  let end = { until: addTime(startedAt, coldTime), reason: startReason };
  if (warmUpEndsAt !== undefined && warmUpEndsAt > end.until) {
    end = { until: warmUpEndsAt, reason: 'warm-up' };
  }
  const reopenedEnd =
    reopenedAt === undefined ? undefined : addTime(reopenedAt, coldTime);
  if (reopenedEnd !== undefined && reopenedEnd > end.until) {
    end = { until: reopenedEnd, reason: 'zone-reopened' };
  }
  return { ...end, until: addTime(end.until, MARGIN) };
}
