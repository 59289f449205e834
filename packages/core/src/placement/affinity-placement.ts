/** Places chats on the engine that has their context cached, below a load bound. */
import type { Candidate, PlacementChoice, PlacementRequest } from './candidate';
import { ChatRank } from './chat-rank';
import { LoadBound, SATURATED_RETRY_AFTER } from './load-bound';
import { Placement } from './placement';

export interface AffinitySettings {
  /** Maximum load of an endpoint as a multiple of the mean load; above 1. */
  readonly bound: number;
  /**
   * Weight of an even load against cache reuse, in 0..1. At 0 a chat returns to
   * its affinity endpoint up to the bound; at 1 it leaves that endpoint earlier.
   */
  readonly skewWeight: number;
}

/** Fraction of the limit that returning chats leave free at `skewWeight` 1. */
const MAX_RESERVE = 0.08;

/** Number of highest-ranked endpoints from which a chat without affinity chooses. */
const TOP_CANDIDATES = 3;

interface RankedCandidate {
  readonly candidate: Candidate;
  readonly score: number;
}

/**
 * Returns a chat to its affinity endpoint while that is below its bound. A chat
 * without a usable one goes to the least utilized of its highest-ranked
 * candidates, so that every router chooses from the same few.
 */
export class AffinityPlacement extends Placement {
  readonly #settings: AffinitySettings;
  readonly #rank = new ChatRank();

  constructor(settings: AffinitySettings) {
    super();
    this.#settings = settings;
  }

  override place(
    request: PlacementRequest,
    candidates: readonly Candidate[],
  ): PlacementChoice {
    if (candidates.length === 0) {
      return { kind: 'no-candidate' };
    }
    const limits = new LoadBound(this.#settings.bound, candidates);
    const affinity = candidates.find(
      entry => entry.id === request.affinityEndpoint,
    );
    if (affinity && this.#acceptsReturn(affinity, limits)) {
      return { kind: 'endpoint', endpoint: affinity.id, reason: 'returned' };
    }
    return this.#placeByRank(request, candidates, limits);
  }

  #acceptsReturn(affinity: Candidate, limits: LoadBound): boolean {
    const reserve = MAX_RESERVE * this.#settings.skewWeight;
    return affinity.load + 1 <= limits.limit(affinity) * (1 - reserve);
  }

  #placeByRank(
    request: PlacementRequest,
    candidates: readonly Candidate[],
    limits: LoadBound,
  ): PlacementChoice {
    const chatHash = this.#rank.chatHash(request.chat);
    const top: RankedCandidate[] = [];
    for (const candidate of candidates) {
      if (!limits.admits(candidate)) {
        continue;
      }
      const score = this.#rank.score(chatHash, candidate);
      const worst = top[TOP_CANDIDATES - 1];
      if (worst && worst.score >= score) {
        continue;
      }
      top.push({ candidate, score });
      top.sort((left, right) => right.score - left.score);
      top.length = Math.min(top.length, TOP_CANDIDATES);
    }
    return this.#leastUtilized(top, limits);
  }

  #leastUtilized(
    top: readonly RankedCandidate[],
    limits: LoadBound,
  ): PlacementChoice {
    let best: Candidate | undefined;
    for (const { candidate } of top) {
      if (!best || limits.utilization(candidate) < limits.utilization(best)) {
        best = candidate;
      }
    }
    if (!best) {
      return { kind: 'saturated', retryAfter: SATURATED_RETRY_AFTER };
    }
    const reason = best === top[0]?.candidate ? 'first-choice' : 'spilled';
    return { kind: 'endpoint', endpoint: best.id, reason };
  }
}
