import type { ChatId } from '../types/ids';
import type { Candidate, PlacementChoice, PlacementRequest } from './candidate';
import { ChatRank } from './chat-rank';
import { LoadBound, SATURATED_RETRY_AFTER } from './load-bound';
import { Placement } from './placement';

/**
 * Rendezvous hashing with bounded loads: chooses the chat's highest-ranked
 * candidate below its bound.
 */
export class BoundedPlacement extends Placement {
  readonly #bound: number;
  protected readonly rank = new ChatRank();

  constructor(bound: number) {
    super();
    this.#bound = bound;
  }

  override place(
    request: PlacementRequest,
    candidates: readonly Candidate[],
  ): PlacementChoice {
    if (candidates.length === 0) {
      return { kind: 'no-candidate' };
    }
    const limits = new LoadBound(this.#bound, candidates);
    const chatHash = this.rank.chatHash(request.chat);
    let best: Candidate | undefined;
    let bestScore = Number.NEGATIVE_INFINITY;
    let topScore = Number.NEGATIVE_INFINITY;
    for (const candidate of candidates) {
      const score = this.rank.score(chatHash, candidate);
      topScore = Math.max(topScore, score);
      if (score > bestScore && this.admits(chatHash, candidate, limits)) {
        best = candidate;
        bestScore = score;
      }
    }
    if (!best) {
      return { kind: 'saturated', retryAfter: SATURATED_RETRY_AFTER };
    }
    const reason = bestScore === topScore ? 'first-choice' : 'spilled';
    return { kind: 'endpoint', endpoint: best.id, reason };
  }

  /** Returns whether one of the candidates may take the chat at its current load. */
  protected acceptsChat(
    chat: ChatId,
    candidate: Candidate,
    candidates: readonly Candidate[],
  ): boolean {
    const limits = new LoadBound(this.#bound, candidates);
    return this.admits(this.rank.chatHash(chat), candidate, limits);
  }

  /** Returns whether the limits allow the candidate to take the chat. */
  protected admits(
    _chatHash: number,
    candidate: Candidate,
    limits: LoadBound,
  ): boolean {
    return limits.admits(candidate);
  }
}
