/**
 * Chooses the engine for a prompt: the one with the least predicted cost among
 * those under a bound on the mean load. The cost is the time to read what the
 * engine does not hold and the wait behind the requests it has. Where nobody is
 * known to hold the subject, all routers agree on its first engine by
 * rendezvous hashing.
 */
import { rendezvousWeight } from '../hashing/rendezvous';
import {
  missingTokens,
  sharedParts,
  subjectPart,
} from '../prompts/prompt-chain';
import type { Prompt } from '../prompts/prompt-chain';
import type { EndpointId, PromptPartId } from '../types/ids';

/** An engine that takes requests, as this router sees it now. */
export interface EngineCandidate {
  readonly id: EndpointId;
  /** Requests of the whole fleet at the engine. */
  readonly load: number;
  readonly slots: number;
}

export interface EnginePlacementOptions {
  /** Highest load as a multiple of the mean, beside `boundSlack`. */
  readonly boundFactor: number;
  /** Requests above the multiple of the mean, as small means say little. */
  readonly boundSlack: number;
  /** Prompt tokens that an engine reads in a millisecond. */
  readonly prefillTokensPerMs: number;
  /** Milliseconds that each request at an engine adds to the next one's wait. */
  readonly waitMsPerRequest: number;
  /** Tokens that an engine fetches from another in a millisecond, its price included. */
  readonly fetchTokensPerMs: number;
  /** Share of a missing subject's reading time that its first engine is spared. */
  readonly homeDiscount: number;
}

/**
 * The bound stays under twice the mean + 3, above which the deployments' limit
 * on uneven load lies; the rate of reading is that of their engines, within a
 * fifth. A fetch takes 10 ms for 10,000 tokens and costs a sixth of reading them.
 */
export const DEFAULT_ENGINE_PLACEMENT_OPTIONS: EnginePlacementOptions = {
  boundFactor: 1.6,
  boundSlack: 2,
  prefillTokensPerMs: 50,
  fetchTokensPerMs: 300,
  waitMsPerRequest: 1.5,
  homeDiscount: 0.6,
};

export type EngineReason = 'holder' | 'home' | 'spilled';

export interface EngineChoice {
  readonly id: EndpointId;
  readonly reason: EngineReason;
  /** Prompt tokens that the engine is thought to have to read. */
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

  /** Load above which an engine takes nothing more while others have room. */
  bound(candidates: readonly EngineCandidate[]): number {
    const total = candidates.reduce((sum, { load }) => sum + load, 0);
    const mean = (total + 1) / Math.max(1, candidates.length);
    return this.#options.boundFactor * mean + this.#options.boundSlack;
  }

  /**
   * Returns undefined when there is no candidate. `isFetchable` tells of parts
   * that some engine holds and can hand over.
   */
  choose(
    prompt: Prompt,
    candidates: readonly EngineCandidate[],
    holds: (part: PromptPartId, engine: EndpointId) => boolean,
    isFetchable: (part: PromptPartId) => boolean,
  ): EngineChoice | undefined {
    const bound = this.bound(candidates);
    const home = this.#home(prompt, candidates);
    const subject = subjectPart(prompt);
    let best: EngineChoice | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
      const missing = missingTokens(prompt, part => holds(part, candidate.id));
      const isHome = candidate.id === home;
      const fetchable = fetchableTokens(
        prompt,
        candidate.id,
        holds,
        isFetchable,
      );
      const isSpared = isHome && subject && !holds(subject.id, candidate.id);
      const spared = isSpared
        ? (subject.tokens - fetchable) * this.#options.homeDiscount
        : 0;
      const reading = missing - fetchable - Math.max(0, spared);
      const cost = this.#cost(candidate, reading, fetchable, bound, prompt);
      if (cost < bestCost) {
        bestCost = cost;
        const isHolder =
          subject !== undefined && holds(subject.id, candidate.id);
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

  /** Milliseconds; an engine at its bound costs more than any below it. */
  #cost(
    candidate: EngineCandidate,
    reading: number,
    fetchable: number,
    bound: number,
    prompt: Prompt,
  ): number {
    const {
      prefillTokensPerMs: prefillRate,
      fetchTokensPerMs: fetchRate,
      waitMsPerRequest: waitPerRequest,
    } = this.#options;
    const overload = candidate.load + 1 > bound ? 1e6 * candidate.load : 0;
    const full = 1e9 * Math.max(0, candidate.load + 1 - candidate.slots);
    return (
      reading / prefillRate +
      fetchable / fetchRate +
      candidate.load * waitPerRequest +
      overload +
      full +
      this.#rank(prompt, candidate.id)
    );
  }

  /** Breaks ties alike on every router; at most a millisecond. */
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

/** Tokens that the engine lacks and another can hand over. */
function fetchableTokens(
  prompt: Prompt,
  engine: EndpointId,
  holds: (part: PromptPartId, engine: EndpointId) => boolean,
  isFetchable: (part: PromptPartId) => boolean,
): number {
  let tokens = 0;
  for (const part of sharedParts(prompt)) {
    if (holds(part.id, engine)) {
      continue;
    }
    if (!isFetchable(part.id)) {
      break;
    }
    tokens += part.tokens;
  }
  return tokens;
}
