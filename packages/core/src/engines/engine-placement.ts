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
import { NO_UNSEEN_REQUESTS } from '../loads/unseen-requests';
import type { UnseenRequests } from '../loads/unseen-requests';
import type { Random } from '../random/random';
import type { EndpointId, PromptPartId } from '../types/ids';

/** An engine that takes requests, as this router currently sees it. */
export interface EngineCandidate {
  readonly id: EndpointId;
  /** This router's requests at the engine. */
  readonly own: number;
  /** Those of other routers, as this router sees them. */
  readonly others: number;
  /** Requests to be added to those of the others by the engine's own report; 0 if undefined. */
  readonly correction?: number;
  /** Fraction, in 0..1, of its usual speed at which the engine runs; undefined if it states none. */
  readonly speed?: number;
  readonly slots: number;
}

/** What a router does not see of the requests at engines, and how it spreads its own for that. */
export interface EngineView {
  readonly unseen: UnseenRequests;
  /** Share, in 0..1, of the prompt's subject in the requests. */
  readonly subjectShare: number;
  readonly random: Pick<Random, 'fraction' | 'exponential'>;
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
  /** The speed by which it was chosen. */
  readonly speed: number;
}

const HASH_RANGE = 0x1_0000_0000;

/** The view of a router that sees all requests at once. */
const COMPLETE_VIEW: EngineView = {
  unseen: NO_UNSEEN_REQUESTS,
  subjectShare: 0,
  random: { fraction: () => 0, exponential: () => 0 },
};

/** Unseen requests of a subject up to which they are placed before one that is. */
const MAX_PLACED_BEFORE = 64;

/** A candidate with what a prompt costs there, in milliseconds. */
interface Option {
  readonly candidate: EngineCandidate;
  /** Prompt tokens that are not cached there. */
  readonly missing: number;
  readonly isHome: boolean;
  /** The cost without that of the load. */
  readonly fixedCost: number;
  readonly speed: number;
  load: number;
  cost: number;
}

export class EnginePlacement {
  readonly #options: EnginePlacementOptions;

  constructor(
    options: EnginePlacementOptions = DEFAULT_ENGINE_PLACEMENT_OPTIONS,
  ) {
    this.#options = options;
  }

  /**
   * Load above which an engine takes no more requests while others are below it. What engines
   * report of themselves is left out, as one false report would shift the bound of all.
   */
  bound(candidates: readonly EngineCandidate[]): number {
    const total = candidates.reduce(
      (sum, { own, others }) => sum + own + others,
      0,
    );
    const mean = (total + 1) / Math.max(1, candidates.length);
    return this.#options.boundFactor * mean + this.#options.boundSlack;
  }

  /**
   * Returns undefined if there is no candidate. `isFetchable` returns whether
   * some engine has the part cached and can transfer it. Other routers place requests by
   * the same view: a random number of those of the subject is placed first, as if they
   * had come before, and the others of the service are spread at random.
   */
  choose(
    prompt: Prompt,
    candidates: readonly EngineCandidate[],
    isCachedAt: (part: PromptPartId, engine: EndpointId) => boolean,
    isFetchable: (part: PromptPartId) => boolean,
    view: EngineView = COMPLETE_VIEW,
  ): EngineChoice | undefined {
    const bound = this.bound(candidates);
    const options = this.#viewed(
      prompt,
      candidates,
      isCachedAt,
      isFetchable,
      bound,
      view,
    );
    this.#placeUnseen(options, bound, view);
    const best = cheapest(options);
    if (!best) {
      return undefined;
    }
    const { candidate, missing, isHome } = best;
    const subject = subjectPart(prompt);
    const isHolder =
      subject !== undefined && isCachedAt(subject.id, candidate.id);
    return {
      id: candidate.id,
      reason: isHolder ? 'holder' : isHome ? 'home' : 'spilled',
      missing,
      load: candidate.own + candidate.others,
      bound,
      speed: best.speed,
    };
  }

  /** The candidates with their costs and an estimate of their loads. */
  #viewed(
    prompt: Prompt,
    candidates: readonly EngineCandidate[],
    isCachedAt: (part: PromptPartId, engine: EndpointId) => boolean,
    isFetchable: (part: PromptPartId) => boolean,
    bound: number,
    { unseen, subjectShare, random }: EngineView,
  ): Option[] {
    const unseenOfOthers =
      (unseen.running * (1 - subjectShare)) / Math.max(1, candidates.length);
    const ranks = candidates.map(({ id }) => rankOf(prompt, id));
    const homeRank = Math.min(...ranks);
    return candidates.map((candidate, at): Option => {
      const { id, own, others, slots, correction = 0, speed = 1 } = candidate;
      const rank = ranks[at] ?? 1;
      const isHome = rank === homeRank;
      const isCached = (part: PromptPartId) => isCachedAt(part, id);
      const missing = missingTokens(prompt, isCached);
      const fixedCost =
        rank +
        this.#prefillCost(prompt, missing, isHome, isCached, isFetchable) /
          speed;
      const load =
        own +
        Math.max(0, others * unseen.persistence + Math.min(slots, correction)) +
        random.exponential(unseenOfOthers);
      const option = {
        candidate,
        missing,
        isHome,
        fixedCost,
        speed,
        load,
        cost: 0,
      };
      option.cost = this.#cost(option, bound);
      return option;
    });
  }

  /** Places a random number of the subject's unseen requests, as if they had come before. */
  #placeUnseen(
    options: readonly Option[],
    bound: number,
    { unseen, subjectShare, random }: EngineView,
  ): void {
    const most = Math.min(MAX_PLACED_BEFORE, unseen.running * subjectShare);
    const count = Math.floor(random.fraction() * (most + 1));
    for (let placed = 0; placed < count; placed += 1) {
      const taken = cheapest(options);
      if (taken) {
        taken.load += 1;
        taken.cost = this.#cost(taken, bound);
      }
    }
  }

  /** Returns the time to prefill or fetch what is missing, in milliseconds. */
  #prefillCost(
    prompt: Prompt,
    missing: number,
    isHome: boolean,
    isCached: (part: PromptPartId) => boolean,
    isFetchable: (part: PromptPartId) => boolean,
  ): number {
    const { prefillTokensPerMs, fetchTokensPerMs, homeDiscount } =
      this.#options;
    const fetchable = fetchableTokens(prompt, isCached, isFetchable);
    const subject = isHome ? subjectPart(prompt) : undefined;
    const discount =
      subject && !isCached(subject.id)
        ? (subject.tokens - fetchable) * homeDiscount
        : 0;
    const toPrefill = missing - fetchable - Math.max(0, discount);
    return toPrefill / prefillTokensPerMs + fetchable / fetchTokensPerMs;
  }

  /** Returns the cost in milliseconds; an engine at its bound costs more than any below it. */
  #cost(
    { candidate, fixedCost, load }: Omit<Option, 'cost'>,
    bound: number,
  ): number {
    const wait = load * this.#options.waitMsPerRequest;
    const overload = load + 1 > bound ? 1e6 * load : 0;
    const full = 1e9 * Math.max(0, load + 1 - candidate.slots);
    return fixedCost + wait + overload + full;
  }
}

function cheapest(options: readonly Option[]): Option | undefined {
  let best: Option | undefined;
  for (const option of options) {
    if (!best || option.cost < best.cost) {
      best = option;
    }
  }
  return best;
}

/** Breaks ties in the same way on every router; at most one millisecond. */
function rankOf(prompt: Prompt, engine: EndpointId): number {
  const subject = subjectPart(prompt);
  return subject ? 1 - rendezvousWeight(subject.id, engine) / HASH_RANGE : 0;
}

/** Returns the tokens that the engine has not cached and can fetch from another one. */
function fetchableTokens(
  prompt: Prompt,
  isCached: (part: PromptPartId) => boolean,
  isFetchable: (part: PromptPartId) => boolean,
): number {
  let tokens = 0;
  for (const part of sharedParts(prompt)) {
    if (isCached(part.id)) {
      continue;
    }
    if (!isFetchable(part.id)) {
      break;
    }
    tokens += part.tokens;
  }
  return tokens;
}
