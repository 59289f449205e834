/** Assigns each endpoint the routers that own its load, which means that they track it exactly. */
import { rankMembers, topMember } from '../hashing/rendezvous';
import type { EndpointId, RouterId } from '../types/ids';

/** Maximum live routers of a small fleet, in which the same routers own every endpoint's load. */
export const MAX_SMALL_FLEET_ROUTERS = 24;

/** Number of owners of every endpoint's load in a small fleet that uses load checks. */
export const SMALL_FLEET_LOAD_OWNERS = 3;

/**
 * Rendezvous key that ranks routers as owners of all endpoints; must be the
 * same on every router.
 */
const SHARED_OWNERS_KEY = 'load-keepers';

function sameMembers<Member>(
  left: readonly Member[],
  right: readonly Member[],
): boolean {
  return (
    left.length === right.length &&
    left.every((member, index) => member === right[index])
  );
}

/**
 * In a small fleet all routers, or a fixed number of them, own every endpoint's
 * load. One response of such an owner can cover all endpoints, and each is the
 * primary owner of an equal part of them. In a large fleet each endpoint has one
 * owner. Owners change when routers or endpoints join and leave; routers with
 * different views of the fleet may use different owners for a short time.
 */
export class LoadOwners {
  readonly #ownerCount: number;
  #routers: readonly RouterId[] = [];
  #endpoints: readonly EndpointId[] = [];
  #sharedOwners: readonly RouterId[] = [];
  readonly #byEndpoint = new Map<EndpointId, readonly RouterId[]>();

  /** `ownerCount` is the number of owners in a small fleet; by default all routers. */
  constructor(ownerCount: number = MAX_SMALL_FLEET_ROUTERS) {
    this.#ownerCount = ownerCount;
  }

  /** Updates the live routers, this one included, and the endpoints. */
  update(routers: readonly RouterId[], endpoints: readonly EndpointId[]): void {
    const sameRouters = sameMembers(this.#routers, routers);
    const sameEndpoints =
      !this.isSmallFleet || sameMembers(this.#endpoints, endpoints);
    if (sameRouters && sameEndpoints) {
      return;
    }
    this.#routers = [...routers];
    this.#endpoints = [...endpoints];
    this.#byEndpoint.clear();
    this.#sharedOwners = [];
    if (this.isSmallFleet) {
      this.#sharedOwners = rankMembers(SHARED_OWNERS_KEY, routers).slice(
        0,
        this.#ownerCount,
      );
      this.#assignPrimaryOwners([...endpoints].sort());
    }
  }

  get isSmallFleet(): boolean {
    return this.#routers.length <= MAX_SMALL_FLEET_ROUTERS;
  }

  /**
   * Returns the endpoint's owners, which receive its counts; the first one, the
   * primary owner, responds to load checks.
   */
  ownersOf(endpoint: EndpointId): readonly RouterId[] {
    const cached = this.#byEndpoint.get(endpoint);
    if (cached) {
      return cached;
    }
    const top = topMember(endpoint, this.#routers);
    const primaryOnly = top === undefined ? [] : [top];
    const members = this.isSmallFleet
      ? rankMembers(endpoint, this.#sharedOwners)
      : primaryOnly;
    this.#byEndpoint.set(endpoint, members);
    return members;
  }

  /** Makes each shared owner the primary owner of an equal part of the endpoints. */
  #assignPrimaryOwners(endpoints: readonly EndpointId[]): void {
    const maxPerOwner = Math.ceil(
      endpoints.length / Math.max(1, this.#sharedOwners.length),
    );
    const assigned = new Map<RouterId, number>();
    for (const endpoint of endpoints) {
      const ranked = rankMembers(endpoint, this.#sharedOwners);
      const primary = ranked.find(
        router => (assigned.get(router) ?? 0) < maxPerOwner,
      );
      if (primary === undefined) {
        return;
      }
      assigned.set(primary, (assigned.get(primary) ?? 0) + 1);
      const others = ranked.filter(router => router !== primary);
      this.#byEndpoint.set(endpoint, [primary, ...others]);
    }
  }
}
