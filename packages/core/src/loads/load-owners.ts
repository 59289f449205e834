/** Which routers keep the exact load of which endpoints. */
import { rankMembers, topMember } from '../hashing/rendezvous';
import type { EndpointId, RouterId } from '../types/ids';

/** Number of live routers up to which the same few keep every endpoint's load. */
export const MAX_SMALL_FLEET_ROUTERS = 24;

/** Routers that keep every endpoint's load in a small fleet where keepers are asked. */
export const SMALL_FLEET_LOAD_OWNERS = 3;

/** Key of the ranking of routers as keepers of every endpoint. */
const sharedKey = 'load-keepers';

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
 * In a small fleet some or all routers know every endpoint's load. Where they are
 * a few, they answer for all endpoints at once, and each is the first to be asked
 * about its part of the endpoints. In a large fleet each endpoint has one keeper. Keepers move when routers or
 * endpoints come and go; routers that disagree for a moment ask different ones.
 */
export class LoadOwners {
  readonly #sharing: number;
  #routers: readonly RouterId[] = [];
  #endpoints: readonly EndpointId[] = [];
  #shared: readonly RouterId[] = [];
  readonly #byEndpoint = new Map<EndpointId, readonly RouterId[]>();

  /** `sharing` is the number of keepers in a small fleet; by default all routers. */
  constructor(sharing: number = MAX_SMALL_FLEET_ROUTERS) {
    this.#sharing = sharing;
  }

  /** Takes the live routers, this one included, and the endpoints. */
  update(routers: readonly RouterId[], endpoints: readonly EndpointId[]): void {
    const sameRouters = sameMembers(this.#routers, routers);
    const spread =
      !this.isSmallFleet || sameMembers(this.#endpoints, endpoints);
    if (sameRouters && spread) {
      return;
    }
    this.#routers = [...routers];
    this.#endpoints = [...endpoints];
    this.#byEndpoint.clear();
    this.#shared = [];
    if (this.isSmallFleet) {
      this.#shared = rankMembers(sharedKey, routers).slice(0, this.#sharing);
      this.#spread([...endpoints].sort());
    }
  }

  get isSmallFleet(): boolean {
    return this.#routers.length <= MAX_SMALL_FLEET_ROUTERS;
  }

  /** Returns the routers that hear of the endpoint; the first one is asked. */
  ownersOf(endpoint: EndpointId): readonly RouterId[] {
    const kept = this.#byEndpoint.get(endpoint);
    if (kept) {
      return kept;
    }
    const top = topMember(endpoint, this.#routers);
    const large = top === undefined ? [] : [top];
    const members = this.isSmallFleet
      ? rankMembers(endpoint, this.#shared)
      : large;
    this.#byEndpoint.set(endpoint, members);
    return members;
  }

  /** Gives each shared keeper an equal part of the endpoints to answer for. */
  #spread(endpoints: readonly EndpointId[]): void {
    const most = Math.ceil(endpoints.length / Math.max(1, this.#shared.length));
    const given = new Map<RouterId, number>();
    for (const endpoint of endpoints) {
      const ranked = rankMembers(endpoint, this.#shared);
      const first = ranked.find(router => (given.get(router) ?? 0) < most);
      if (first === undefined) {
        return;
      }
      given.set(first, (given.get(first) ?? 0) + 1);
      const others = ranked.filter(router => router !== first);
      this.#byEndpoint.set(endpoint, [first, ...others]);
    }
  }
}
