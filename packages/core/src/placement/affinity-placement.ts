/** Placement of chats at the engine that holds their context, below a load bound. */
import type { Candidate, PlacementChoice, PlacementRequest } from './candidate';
import { ChatRank } from './chat-rank';
import { LoadBound, SATURATED_RETRY_AFTER } from './load-bound';
import { Placement } from './placement';

export interface AffinitySettings {
  /** Largest multiple of the mean load that an endpoint may carry; above 1. */
  readonly bound: number;
  /**
   * How much an even load counts against cache reuse, in 0..1. At 0 a chat goes
   * back to its last place up to the bound; at 1 it leaves earlier.
   */
  readonly skewWeight: number;
}

/** Part of the limit that a returning chat leaves free at `skewWeight` 1. */
const maxReserve = 0.08;

/** How many of its highest ranked endpoints a chat without a place chooses from. */
const choices = 3;

interface Ranked {
  readonly candidate: Candidate;
  readonly score: number;
}

/**
 * Sends a chat back to its last place while that is below its bound. A chat
 * without a usable last place takes the less loaded of its highest ranked
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
    const last = candidates.find(
      entry => entry.id === request.affinityEndpoint,
    );
    if (last && this.#takesBack(last, limits)) {
      return { kind: 'endpoint', endpoint: last.id, reason: 'returned' };
    }
    return this.#placeByRank(request, candidates, limits);
  }

  #takesBack(last: Candidate, limits: LoadBound): boolean {
    const reserve = maxReserve * this.#settings.skewWeight;
    return last.load + 1 <= limits.limit(last) * (1 - reserve);
  }

  #placeByRank(
    request: PlacementRequest,
    candidates: readonly Candidate[],
    limits: LoadBound,
  ): PlacementChoice {
    const chatHash = this.#rank.chatHash(request.chat);
    const top: Ranked[] = [];
    for (const candidate of candidates) {
      if (!limits.admits(candidate)) {
        continue;
      }
      const score = this.#rank.score(chatHash, candidate);
      const worst = top[choices - 1];
      if (worst && worst.score >= score) {
        continue;
      }
      top.push({ candidate, score });
      top.sort((left, right) => right.score - left.score);
      top.length = Math.min(top.length, choices);
    }
    return this.#leastFilled(top, limits);
  }

  #leastFilled(top: readonly Ranked[], limits: LoadBound): PlacementChoice {
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
