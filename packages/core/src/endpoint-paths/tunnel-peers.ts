/**
 * Ranks the routers through which this one connects to endpoints that it does not
 * reach: the last one that did, then routers of its own and of other availability
 * zones by turns, as a whole zone may be isolated. Hashing spreads the isolated
 * routers over the others.
 */
import { rankMembers } from '../hashing/rendezvous';
import type { RouterIdentity } from '../membership/router-table';
import type { RouterId, ZoneId } from '../types/ids';
import { addTime, elapsed, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Time for which a router that failed is tried last. */
const FAILURE_TIME: Milliseconds = seconds(2);
/** Routers that are tried for one connection. */
const MAX_PEERS = 8;

export class TunnelPeers {
  readonly #self: RouterId;
  readonly #zone: ZoneId;
  readonly #failedUntil = new Map<RouterId, Instant>();
  #lastSuccess: RouterId | undefined;

  constructor(self: RouterId, zone: ZoneId) {
    this.#self = self;
    this.#zone = zone;
  }

  rank(routers: readonly RouterIdentity[], now: Instant): RouterIdentity[] {
    const byId = new Map(routers.map(router => [router.id, router]));
    const ranked = rankMembers(`tunnel/${this.#self}`, [...byId.keys()]);
    const isNear = (id: RouterId) => byId.get(id)?.zone === this.#zone;
    const near = ranked.filter(isNear);
    const far = ranked.filter(id => !isNear(id));
    const order = near
      .flatMap((id, index) => [id, ...far.slice(index, index + 1)])
      .concat(far.slice(near.length));
    const working = order.filter(id => !this.#hasFailed(id, now));
    const failed = order.filter(id => this.#hasFailed(id, now));
    return [...working, ...failed]
      .sort(
        (left, right) =>
          Number(right === this.#lastSuccess) -
          Number(left === this.#lastSuccess),
      )
      .slice(0, MAX_PEERS)
      .flatMap(id => byId.get(id) ?? []);
  }

  recordSuccess(router: RouterId): void {
    this.#lastSuccess = router;
    this.#failedUntil.delete(router);
  }

  recordFailure(router: RouterId, now: Instant): void {
    this.#failedUntil.set(router, addTime(now, FAILURE_TIME));
    if (this.#lastSuccess === router) {
      this.#lastSuccess = undefined;
    }
  }

  #hasFailed(router: RouterId, now: Instant): boolean {
    const until = this.#failedUntil.get(router);
    return until !== undefined && elapsed(now, until) > 0;
  }
}
