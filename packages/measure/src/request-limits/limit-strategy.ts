/** Ways in which a fleet of routers keeps the rate of requests that an endpoint accepts. */
import { PermitIssuer } from '@sesamegrade/core/endpoint-limits/permit-issuer';
import { ReservePermits } from '@sesamegrade/core/endpoint-limits/reserve-permits';
import { TokenBucket } from '@sesamegrade/core/endpoint-limits/token-bucket';
import type { Random } from '@sesamegrade/core/random/random';
import {
  endpointId,
  requestId,
  routerId,
  serviceId,
  teamId,
} from '@sesamegrade/core/types/ids';
import { instant, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant } from '@sesamegrade/core/types/units';

export interface LimitedFleet {
  readonly routers: number;
  /** Requests a second that the endpoint accepts. */
  readonly perSecond: number;
  readonly random: Random;
}

const ENDPOINT = endpointId('e');

export abstract class LimitStrategy {
  protected readonly fleet: LimitedFleet;
  /** Messages between routers that the strategy has cost. */
  messages = 0;
  protected leaderLostUntil = instant(0);

  constructor(fleet: LimitedFleet) {
    this.fleet = fleet;
  }

  /** Whether a router sends a request to the endpoint. */
  abstract accepts(router: number, now: Instant): boolean;

  /** The router that the others depend on is gone for a while; the rest does not know yet. */
  onLeaderLost(until: Instant): void {
    this.leaderLostUntil = until;
  }
}

/** Each router sends what it is asked to. */
export class NoLimit extends LimitStrategy {
  override accepts(): boolean {
    return true;
  }
}

/** Each router has a token bucket of its equal part, which saves one token. */
export class EvenShares extends LimitStrategy {
  readonly #buckets = new Map<number, TokenBucket>();

  override accepts(router: number, now: Instant): boolean {
    const { perSecond, routers } = this.fleet;
    const share = perSecond / routers;
    const bucket =
      this.#buckets.get(router) ?? new TokenBucket(share, instant(0));
    this.#buckets.set(router, bucket);
    bucket.refill(share, now);
    return bucket.take();
  }
}

/** As many routers as the endpoint accepts requests a second may send, one each second. */
export class RankedRouters extends LimitStrategy {
  readonly #buckets = new Map<number, TokenBucket>();

  override accepts(router: number, now: Instant): boolean {
    const { perSecond, routers } = this.fleet;
    const permitted = Math.min(routers, Math.max(1, Math.floor(perSecond)));
    if (router >= permitted) {
      return false;
    }
    const share = perSecond / permitted;
    const bucket =
      this.#buckets.get(router) ?? new TokenBucket(share, instant(0));
    this.#buckets.set(router, bucket);
    bucket.refill(share, now);
    return bucket.take();
  }
}

/** Each router adds its own recent sends to those of the others, which it learns late. */
export class LateCounts extends LimitStrategy {
  static readonly DELAY_MS = 300;
  static readonly WINDOW_MS = 1000;
  readonly #sent: { router: number; at: number }[] = [];

  override accepts(router: number, now: Instant): boolean {
    while (
      this.#sent[0] &&
      now - this.#sent[0].at > LateCounts.WINDOW_MS + LateCounts.DELAY_MS
    ) {
      this.#sent.shift();
    }
    const known = this.#sent.filter(
      each =>
        now - each.at < LateCounts.WINDOW_MS &&
        (each.router === router || now - each.at >= LateCounts.DELAY_MS),
    ).length;
    if (known >= Math.max(1, this.fleet.perSecond)) {
      return false;
    }
    this.messages += this.fleet.routers;
    this.#sent.push({ router, at: now });
    return true;
  }
}

const newIssuer = () => new PermitIssuer({ share: () => 1, running: () => 0 });

/** One router issues a permit for each request; the others use a reserve while it is gone. */
export class IssuedPermits extends LimitStrategy {
  #issuer = newIssuer();
  readonly #reserves = new Map<number, ReservePermits>();
  readonly #askAgainAt = new Map<number, number>();
  #queries = 0;

  override onLeaderLost(until: Instant): void {
    super.onLeaderLost(until);
    this.#issuer = newIssuer();
  }

  override accepts(router: number, now: Instant): boolean {
    if (now < (this.#askAgainAt.get(router) ?? 0)) {
      return false;
    }
    this.#queries += 1;
    const query = {
      request: requestId(String(this.#queries)),
      service: serviceId('s'),
      endpoints: [
        {
          id: ENDPOINT,
          perSecond: this.fleet.perSecond,
          concurrent: undefined,
        },
      ],
      rank: 0,
      team: teamId('t'),
      maxWait: milliseconds(0),
      lifetime: milliseconds(1000),
    };
    if (now < this.leaderLostUntil) {
      return this.#reserveOf(router).request(query, now).kind === 'granted';
    }
    this.messages += 2;
    let isGranted = false;
    this.#issuer.request(
      query,
      routerId(String(router)),
      answer => {
        isGranted = answer.kind === 'granted';
        if (answer.kind === 'refused') {
          this.#askAgainAt.set(router, now + answer.retryAfter);
        }
      },
      now,
    );
    return isGranted;
  }

  #reserveOf(router: number): ReservePermits {
    const { random, routers } = this.fleet;
    const reserve =
      this.#reserves.get(router) ?? new ReservePermits(random, () => routers);
    this.#reserves.set(router, reserve);
    return reserve;
  }
}

export const LIMIT_STRATEGIES = {
  'no limit': NoLimit,
  'even shares': EvenShares,
  'ranked routers': RankedRouters,
  'late counts': LateCounts,
  'issued permits': IssuedPermits,
} as const;
