import { BoundedPlacement } from './bounded-placement';
import type { Candidate, PlacementChoice, PlacementRequest } from './candidate';

/** Bounded rendezvous hashing that first tries the chat's last place. */
export class BoundedAffinityPlacement extends BoundedPlacement {
  override place(
    request: PlacementRequest,
    candidates: readonly Candidate[],
  ): PlacementChoice {
    const last = candidates.find(
      entry => entry.id === request.affinityEndpoint,
    );
    if (last && this.acceptsChat(request.chat, last, candidates)) {
      return { kind: 'endpoint', endpoint: last.id, reason: 'returned' };
    }
    return super.place(request, candidates);
  }
}
