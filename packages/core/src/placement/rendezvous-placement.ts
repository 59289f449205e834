import type { Candidate, PlacementChoice, PlacementRequest } from './candidate';
import { ChatRank } from './chat-rank';
import { Placement } from './placement';

/** Baseline: chooses the chat's highest-ranked candidate, whatever its load. */
export class RendezvousPlacement extends Placement {
  readonly #rank = new ChatRank();

  override place(
    request: PlacementRequest,
    candidates: readonly Candidate[],
  ): PlacementChoice {
    const chatHash = this.#rank.chatHash(request.chat);
    let best: Candidate | undefined;
    let bestScore = Number.NEGATIVE_INFINITY;
    for (const candidate of candidates) {
      const score = this.#rank.score(chatHash, candidate);
      if (score > bestScore) {
        best = candidate;
        bestScore = score;
      }
    }
    if (!best) {
      return { kind: 'no-candidate' };
    }
    return { kind: 'endpoint', endpoint: best.id, reason: 'first-choice' };
  }
}
