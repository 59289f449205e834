/**
 * Chooses an endpoint of a plain service: the least loaded one, preferring the
 * same zone among equals.
 */
import type { EndpointId } from '../types/ids';

export interface ServiceCandidate {
  readonly id: EndpointId;
  /** Requests at the endpoint from all routers. */
  readonly load: number;
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
/** Random cost that breaks ties differently for each request, so that routers do not herd. */
const TIE_BREAKING_JITTER = 0.05;
/** Unseen requests per endpoint up to which differences of load are still significant. */
const TOLERATED_UNSEEN_REQUESTS = 1;

/**
 * Returns undefined if there is no candidate; `fraction` returns random numbers
 * in [0, 1). `unseen` is the number of requests that other routers send to the
 * service before this router receives their loads. Differences of load smaller
 * than an endpoint's part of `unseen` are noise; if all routers followed them,
 * they would all choose the same endpoint.
 */
export function chooseServiceEndpoint(
  candidates: readonly ServiceCandidate[],
  unseen: number,
  fraction: () => number,
): EndpointId | undefined {
  const unseenPerEndpoint = unseen / Math.max(1, candidates.length);
  const noise = Math.max(0, unseenPerEndpoint - TOLERATED_UNSEEN_REQUESTS);
  let best: EndpointId | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const { id, load, slots, near, speed } of candidates) {
    const cost =
      load / (Math.max(1, slots) * Math.max(0.05, speed)) +
      (near ? 0 : OTHER_ZONE_COST) +
      fraction() * (TIE_BREAKING_JITTER + noise / Math.max(1, slots));
    if (cost < bestCost) {
      best = id;
      bestCost = cost;
    }
  }
  return best;
}
