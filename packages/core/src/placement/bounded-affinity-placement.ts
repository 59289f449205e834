import { BoundedPlacement } from './bounded-placement';
import type { Candidate, PlacementChoice, PlacementRequest } from './candidate';

/** Session affinity over bounded rendezvous hashing: tries the chat's affinity endpoint first. */
export class BoundedAffinityPlacement extends BoundedPlacement {
  override place(
    request: PlacementRequest,
    candidates: readonly Candidate[],
  ): PlacementChoice {
    const affinity = candidates.find(
      entry => entry.id === request.affinityEndpoint,
    );
    if (affinity && this.acceptsChat(request.chat, affinity, candidates)) {
      return { kind: 'endpoint', endpoint: affinity.id, reason: 'returned' };
    }
    return super.place(request, candidates);
  }
}
