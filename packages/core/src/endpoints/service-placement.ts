/** Chooses an endpoint of a plain service: the least loaded one, near ones first among equals. */
import type { EndpointId } from '../types/ids';

export interface ServiceCandidate {
  readonly id: EndpointId;
  /** Requests of the whole fleet at the endpoint. */
  readonly load: number;
  readonly slots: number;
  /** Whether the endpoint is in the router's own availability zone. */
  readonly near: boolean;
  /** Share in 0..1 of its full speed that the endpoint is thought to have. */
  readonly speed: number;
}

/** Load, as a share of the slots, that a near endpoint may have above a far one. */
const NEARNESS = 0.1;
/** Breaks ties differently on each request, so that routers do not herd. */
const JITTER = 0.05;
/** Requests at an endpoint that may go unseen before a difference of loads means nothing. */
const TOLERATED_UNSEEN = 1;

/**
 * Returns undefined when there is no candidate; `fraction` gives numbers in
 * [0, 1). `unseen` is how many requests other routers send to the service before
 * their loads are heard of: what is smaller than their part of an endpoint says
 * nothing, and routers that all went by it would all go to the same endpoint.
 */
export function chooseServiceEndpoint(
  candidates: readonly ServiceCandidate[],
  unseen: number,
  fraction: () => number,
): EndpointId | undefined {
  const each = unseen / Math.max(1, candidates.length);
  const noise = Math.max(0, each - TOLERATED_UNSEEN);
  let best: EndpointId | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const { id, load, slots, near, speed } of candidates) {
    const cost =
      load / (Math.max(1, slots) * Math.max(0.05, speed)) +
      (near ? 0 : NEARNESS) +
      fraction() * (JITTER + noise / Math.max(1, slots));
    if (cost < bestCost) {
      best = id;
      bestCost = cost;
    }
  }
  return best;
}
