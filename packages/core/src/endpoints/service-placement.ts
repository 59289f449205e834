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

/** Returns undefined when there is no candidate; `fraction` gives numbers in [0, 1). */
export function chooseServiceEndpoint(
  candidates: readonly ServiceCandidate[],
  fraction: () => number,
): EndpointId | undefined {
  let best: EndpointId | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const { id, load, slots, near, speed } of candidates) {
    const cost =
      load / (Math.max(1, slots) * Math.max(0.05, speed)) +
      (near ? 0 : NEARNESS) +
      fraction() * JITTER;
    if (cost < bestCost) {
      best = id;
      bestCost = cost;
    }
  }
  return best;
}
