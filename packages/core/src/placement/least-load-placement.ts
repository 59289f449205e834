import type { Candidate, PlacementChoice, PlacementRequest } from './candidate';
import { Placement } from './placement';

function relativeLoad(candidate: Candidate): number {
  const effectiveCapacity = candidate.capacity * candidate.weight;
  return effectiveCapacity > 0
    ? candidate.load / effectiveCapacity
    : Number.POSITIVE_INFINITY;
}

/** Baseline: chooses the candidate with the lowest load relative to its effective capacity. */
export class LeastLoadPlacement extends Placement {
  override place(
    _request: PlacementRequest,
    candidates: readonly Candidate[],
  ): PlacementChoice {
    let best: Candidate | undefined;
    let bestLoad = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
      const load = relativeLoad(candidate);
      if (!best || load < bestLoad) {
        best = candidate;
        bestLoad = load;
      }
    }
    if (!best) {
      return { kind: 'no-candidate' };
    }
    return { kind: 'endpoint', endpoint: best.id, reason: 'least-loaded' };
  }
}
