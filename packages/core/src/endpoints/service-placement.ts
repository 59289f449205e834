/**
 * Chooses an endpoint of a plain service: at random, by the requests that each lacks to the
 * load that all will have, so that routers with the same late view do not all choose the same one.
 */
import type { UnseenRequests } from '../loads/unseen-requests';
import type { EndpointId } from '../types/ids';

export interface ServiceCandidate {
  readonly id: EndpointId;
  /** This router's requests at the endpoint. */
  readonly own: number;
  /** Those of other routers, as this router sees them. */
  readonly others: number;
  /** Requests to be added to those of the others by the endpoint's own report; 0 if undefined. */
  readonly correction?: number;
  readonly slots: number;
  /** Whether the endpoint is in the router's own availability zone. */
  readonly near: boolean;
  /** Estimated fraction of its full speed, in 0..1, at which the endpoint runs. */
  readonly speed: number;
}

/**
 * Load, as a fraction of the slots, by which an endpoint in the same zone may
 * exceed one in another zone.
 */
const OTHER_ZONE_COST = 0.1;
const MIN_SPEED = 0.05;

/** A candidate's load, and how much of the load of all it takes. */
interface Share {
  readonly id: EndpointId;
  readonly load: number;
  readonly weight: number;
}

/**
 * Returns undefined if there is no candidate; `fraction` returns random numbers
 * in [0, 1).
 */
export function chooseServiceEndpoint(
  candidates: readonly ServiceCandidate[],
  unseen: UnseenRequests,
  fraction: () => number,
): EndpointId | undefined {
  const shares = candidates.map(
    ({ id, own, others, correction = 0, slots, near, speed }): Share => ({
      id,
      load:
        own +
        Math.max(0, others * unseen.persistence + Math.min(slots, correction)) +
        (near ? 0 : OTHER_ZONE_COST * slots),
      weight: Math.max(1, slots) * Math.max(MIN_SPEED, speed),
    }),
  );
  const arriving = unseen.running + 1;
  const level = commonLevel(shares, arriving);
  let remaining = fraction() * arriving;
  for (const { id, load, weight } of shares) {
    remaining -= Math.max(0, level * weight - load);
    if (remaining < 0) {
      return id;
    }
  }
  return shares.at(-1)?.id;
}

/**
 * The load per weight up to which requests fill the least loaded endpoints; those above it get
 * none.
 */
function commonLevel(shares: readonly Share[], arriving: number): number {
  const filled = shares.toSorted(
    (left, right) => left.load / left.weight - right.load / right.weight,
  );
  let load = arriving;
  let weight = 0;
  for (const share of filled) {
    if (weight > 0 && load / weight <= share.load / share.weight) {
      break;
    }
    load += share.load;
    weight += share.weight;
  }
  return load / weight;
}
