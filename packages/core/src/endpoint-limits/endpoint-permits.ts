/**
 * The permits of one endpoint: tokens if it limits the rate of requests, and places
 * if it limits their number at a time. An endpoint that falls over when it has to
 * reject too much gets no more at a time than it has slots, and fewer for a while
 * after each rejection.
 */
import type { RequestId, RouterId } from '../types/ids';
import { addTime, elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import type { LimitedEndpoint } from './permit-query';
import { TokenBucket } from './token-bucket';

/**
 * Lowest rate at which permits are issued. An endpoint that accepts nothing gets
 * one request now and then, as only its responses can show the end of that.
 */
const MIN_RATE_PER_SECOND = 0.1;
/** Time in which a place comes back that was taken off after a rejection. */
const PLACE_RECOVERY: Milliseconds = seconds(1);
/** Time for which a router that asked counts as one that asks again. */
const ASKER_LIFETIME: Milliseconds = seconds(20);
/** Queries a second, beyond a multiple of the permits, that an endpoint is worth. */
const MIN_QUERIES_PER_SECOND = 5;
const QUERIES_PER_PERMIT = 3;
/** Expected time until a place is free, when all are taken. */
const PLACE_WAIT: Milliseconds = milliseconds(100);
const MS_PER_SECOND = 1000;

export class EndpointPermits {
  readonly #tokens: TokenBucket;
  /** When the permits of running requests lapse, whether or not they are returned. */
  readonly #holders = new Map<RequestId, Instant>();
  /** When each router last asked for the endpoint. */
  readonly #askers = new Map<RouterId, Instant>();
  readonly #createdAt: Instant;
  /** Requests that ran at the endpoint when its permits began to be counted. */
  readonly #earlier: number;
  #rate: number | undefined;
  #places: number | undefined;
  /** Places that are not given out after rejections. */
  #withheld = 0;
  #withheldAt: Instant;
  #usedAt: Instant;

  constructor(earlier: number, now: Instant) {
    this.#earlier = earlier;
    this.#createdAt = now;
    this.#usedAt = now;
    this.#withheldAt = now;
    this.#tokens = new TokenBucket(0, now);
  }

  /** Applies the endpoint's current limits, of which this issuer may use a share. */
  update(
    { perSecond, concurrent }: LimitedEndpoint,
    share: number,
    now: Instant,
  ): void {
    this.#usedAt = now;
    this.#rate =
      perSecond === undefined
        ? undefined
        : Math.max(MIN_RATE_PER_SECOND, perSecond * share);
    this.#places =
      concurrent === undefined
        ? undefined
        : Math.max(1, Math.floor(concurrent * share));
    this.#tokens.refill(this.#rate ?? 0, now);
    const recovered = Math.floor(
      elapsed(this.#withheldAt, now) / PLACE_RECOVERY,
    );
    if (recovered > 0) {
      this.#withheld = Math.max(0, this.#withheld - recovered);
      this.#withheldAt = now;
    }
  }

  /** Permits a second; undefined without a limit of the rate. */
  get rate(): number | undefined {
    return this.#rate;
  }

  isUnusedSince(time: Milliseconds, now: Instant): boolean {
    return this.#holders.size === 0 && elapsed(this.#usedAt, now) > time;
  }

  recordAsker(router: RouterId, now: Instant): void {
    this.#askers.set(router, now);
  }

  /** Gives out a permit that lapses after a time; returns false if there is none. */
  take(permit: RequestId, lifetime: Milliseconds, now: Instant): boolean {
    if (this.#places !== undefined && this.#free(lifetime, now) < 1) {
      return false;
    }
    if (this.#rate !== undefined && !this.#tokens.take()) {
      return false;
    }
    if (this.#places !== undefined) {
      this.#holders.set(permit, addTime(now, lifetime));
    }
    return true;
  }

  /** Takes a permit back; returns false if it is not known. */
  release(permit: RequestId, wasRejected: boolean, now: Instant): boolean {
    const running = this.#holders.size;
    if (!this.#holders.delete(permit)) {
      return false;
    }
    if (wasRejected && this.#places !== undefined) {
      // It could not take the request beside the others that were running.
      this.#withheld = Math.max(
        this.#withheld,
        Math.min(this.#places - 1, this.#places - running + 1),
      );
      this.#withheldAt = now;
    }
    return true;
  }

  /** Time until a permit is probably available. */
  timeUntilNext(): Milliseconds {
    return this.#rate === undefined ? PLACE_WAIT : this.#tokens.timeUntil(1);
  }

  /**
   * Time after which a router should ask again. It spreads the queries of all routers,
   * so that their number depends on the limit and not on the size of the fleet.
   */
  timeToAskAgain(now: Instant): Milliseconds {
    for (const [router, askedAt] of this.#askers) {
      if (elapsed(askedAt, now) > ASKER_LIFETIME) {
        this.#askers.delete(router);
      }
    }
    const perSecond = this.#rate ?? this.#places ?? 0;
    const queries = MIN_QUERIES_PER_SECOND + QUERIES_PER_PERMIT * perSecond;
    const spread = ((this.#askers.size - 1) / queries) * MS_PER_SECOND;
    return milliseconds(this.timeUntilNext() + spread);
  }

  #free(lifetime: Milliseconds, now: Instant): number {
    for (const [permit, lapsesAt] of this.#holders) {
      if (elapsed(lapsesAt, now) >= 0) {
        this.#holders.delete(permit);
      }
    }
    const age = elapsed(this.#createdAt, now);
    const earlier = this.#earlier * Math.max(0, 1 - age / lifetime);
    return (this.#places ?? 0) - this.#withheld - this.#holders.size - earlier;
  }
}
