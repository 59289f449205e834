/**
 * Chooses the engine for a prompt: the one with the lowest predicted cost among
 * those below a multiple of the mean load. The cost is the time to prefill the
 * tokens that the engine has not cached plus the wait behind its current
 * requests. For a subject that no engine is known to have cached, rendezvous
 * hashing makes all routers agree on its home engine.
 */
import { rendezvousWeight } from '../hashing/rendezvous';
import {
  missingTokens,
  sharedParts,
  subjectPart,
} from '../prompts/prompt-chain';
import type { Prompt } from '../prompts/prompt-chain';
import type { EndpointId, PromptPartId } from '../types/ids';

/** An engine that takes requests, as this router currently sees it. */
export interface EngineCandidate {
  readonly id: EndpointId;
  /** Requests at the engine from all routers. */
  readonly load: number;
  readonly slots: number;
}

export interface EnginePlacementOptions {
  /** Maximum load as a multiple of the mean, without `boundSlack`. */
  readonly boundFactor: number;
  /** Requests allowed above that multiple, as a small mean is a poor measure. */
  readonly boundSlack: number;
  /** Prompt tokens that an engine prefills per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Milliseconds by which each request at an engine delays the next one. */
  readonly waitMsPerRequest: number;
  /**
   * Tokens that an engine fetches from another per millisecond, reduced for the
   * cost of a fetch.
   */
  readonly fetchTokensPerMs: number;
  /** Share of an uncached subject's prefill time that is not counted on its home engine. */
  readonly homeDiscount: number;
}

/**
 * The bound stays below twice the mean plus 3, the deployments' limit on uneven
 * load. The prefill rate is that of their engines within 20 %. A fetch of 10,000
 * tokens takes 10 ms and costs a sixth of prefilling them.
 */
export const DEFAULT_ENGINE_PLACEMENT_OPTIONS: EnginePlacementOptions = {
  boundFactor: 1.6,
  boundSlack: 2,
  prefillTokensPerMs: 50,
  fetchTokensPerMs: 300,
  waitMsPerRequest: 1.5,
  homeDiscount: 0.6,
};

/**
 * Why the engine was chosen: it has the subject cached, is the subject's home
 * engine, or is any other one.
 */
export type EngineReason = 'holder' | 'home' | 'spilled';

export interface EngineChoice {
  readonly id: EndpointId;
  readonly reason: EngineReason;
  /** Prompt tokens that the engine is expected to prefill. */
  readonly missing: number;
  readonly load: number;
  readonly bound: number;
}

const HASH_RANGE = 0x1_0000_0000;

export class EnginePlacement {
  readonly #options: EnginePlacementOptions;

  constructor(
    options: EnginePlacementOptions = DEFAULT_ENGINE_PLACEMENT_OPTIONS,
  ) {
    this.#options = options;
  }

  /** Load above which an engine takes no more requests while others are below it. */
  bound(candidates: readonly EngineCandidate[]): number {
    const total = candidates.reduce((sum, { load }) => sum + load, 0);
    const mean = (total + 1) / Math.max(1, candidates.length);
    return this.#options.boundFactor * mean + this.#options.boundSlack;
  }

  /**
   * Returns undefined if there is no candidate. `isFetchable` returns whether
   * some engine has the part cached and can transfer it.
   */
  choose(
    prompt: Prompt,
    candidates: readonly EngineCandidate[],
    isCachedAt: (part: PromptPartId, engine: EndpointId) => boolean,
    isFetchable: (part: PromptPartId) => boolean,
  ): EngineChoice | undefined {
    const bound = this.bound(candidates);
    const home = this.#home(prompt, candidates);
    const subject = subjectPart(prompt);
    let best: EngineChoice | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
      const missing = missingTokens(prompt, part =>
        isCachedAt(part, candidate.id),
      );
      const isHome = candidate.id === home;
      const fetchable = fetchableTokens(
        prompt,
        candidate.id,
        isCachedAt,
        isFetchable,
      );
      const hasDiscount =
        isHome && subject && !isCachedAt(subject.id, candidate.id);
      const discount = hasDiscount
        ? (subject.tokens - fetchable) * this.#options.homeDiscount
        : 0;
      const toPrefill = missing - fetchable - Math.max(0, discount);
      const cost = this.#cost(candidate, toPrefill, fetchable, bound, prompt);
      if (cost < bestCost) {
        bestCost = cost;
        const isHolder =
          subject !== undefined && isCachedAt(subject.id, candidate.id);
        best = {
          id: candidate.id,
          reason: isHolder ? 'holder' : isHome ? 'home' : 'spilled',
          missing,
          load: candidate.load,
          bound,
        };
      }
    }
    return best;
  }

  /** Returns the cost in milliseconds; an engine at its bound costs more than any below it. */
  #cost(
    candidate: EngineCandidate,
    toPrefill: number,
    fetchable: number,
    bound: number,
    prompt: Prompt,
  ): number {
    const { prefillTokensPerMs, fetchTokensPerMs, waitMsPerRequest } =
      this.#options;
    const overload = candidate.load + 1 > bound ? 1e6 * candidate.load : 0;
    const full = 1e9 * Math.max(0, candidate.load + 1 - candidate.slots);
    return (
      toPrefill / prefillTokensPerMs +
      fetchable / fetchTokensPerMs +
      candidate.load * waitMsPerRequest +
      overload +
      full +
      this.#rank(prompt, candidate.id)
    );
  }

  /** Breaks ties in the same way on every router; at most one millisecond. */
  #rank(prompt: Prompt, engine: EndpointId): number {
    const subject = subjectPart(prompt);
    return subject ? 1 - rendezvousWeight(subject.id, engine) / HASH_RANGE : 0;
  }

  #home(
    prompt: Prompt,
    candidates: readonly EngineCandidate[],
  ): EndpointId | undefined {
    let home: EndpointId | undefined;
    let homeRank = Number.POSITIVE_INFINITY;
    for (const { id } of candidates) {
      const rank = this.#rank(prompt, id);
      if (rank < homeRank) {
        home = id;
        homeRank = rank;
      }
    }
    return home;
  }
}

/** Returns the tokens that the engine has not cached and can fetch from another one. */
function fetchableTokens(
  prompt: Prompt,
  engine: EndpointId,
  isCachedAt: (part: PromptPartId, engine: EndpointId) => boolean,
  isFetchable: (part: PromptPartId) => boolean,
): number {
  let tokens = 0;
  for (const part of sharedParts(prompt)) {
    if (isCachedAt(part.id, engine)) {
      continue;
    }
    if (!isFetchable(part.id)) {
      break;
    }
    tokens += part.tokens;
  }
  return tokens;
}
