/**
 * Placement of one request with exact load checks. An endpoint near its bound is
 * taken only after its keeper has counted the request in; a chat leaves its last
 * place only after the keeper has said that it is full.
 */
import type { LoadCheckResponse } from '../loads/load-owner';
import type { EndpointId } from '../types/ids';
import type { Instant } from '../types/units';
import type { Candidate, PlacementChoice, PlacementRequest } from './candidate';
import { LoadBound } from './load-bound';
import type { Placement } from './placement';

export type DecisionStep =
  /** Ask the endpoint's watcher, then call `answered` or `unanswered`. */
  | {
      readonly kind: 'ask';
      readonly endpoint: EndpointId;
      readonly limit: number;
    }
  | { readonly kind: 'chosen'; readonly choice: PlacementChoice };

export interface DecisionSettings {
  readonly bound: number;
  /**
   * How far from its limit an estimated load is still checked, in standard
   * deviations of a Poisson distributed load of that size.
   */
  readonly margin: number;
  /** The most questions that one decision may ask. */
  readonly maxLoadChecks: number;
}

export const DEFAULT_DECISION_SETTINGS: Omit<DecisionSettings, 'bound'> = {
  margin: 1.2,
  maxLoadChecks: 3,
};

export class PlacementDecision {
  readonly #placement: Placement;
  readonly #request: PlacementRequest;
  readonly #settings: DecisionSettings;
  readonly #answered = new Set<EndpointId>();
  #candidates: readonly Candidate[];
  #asked: EndpointId | undefined;
  #admitted: EndpointId | undefined;
  #questions = 0;

  constructor(
    placement: Placement,
    request: PlacementRequest,
    candidates: readonly Candidate[],
    settings: DecisionSettings,
  ) {
    this.#placement = placement;
    this.#request = request;
    this.#candidates = candidates;
    this.#settings = settings;
  }

  /** Returns a question or the choice. */
  next(now: Instant): DecisionStep {
    const limits = new LoadBound(this.#settings.bound, this.#candidates);
    const last = this.#lastPlaceToCheck(limits);
    if (last) {
      return this.#ask(last, limits);
    }
    const choice = this.#placement.place(this.#request, this.#candidates, now);
    if (choice.kind !== 'endpoint' || choice.endpoint === this.#admitted) {
      return { kind: 'chosen', choice };
    }
    const chosen = this.#candidates.find(({ id }) => id === choice.endpoint);
    if (chosen && this.#isUncertain(chosen, limits)) {
      return this.#ask(chosen, limits);
    }
    return { kind: 'chosen', choice };
  }

  /** Takes the keeper's answer to the last question. */
  onLoadCheckResponse({ admitted, load, others }: LoadCheckResponse): void {
    const asked = this.#asked;
    if (asked === undefined) {
      return;
    }
    this.#answered.add(asked);
    this.#admitted = admitted ? asked : this.#admitted;
    const loads = new Map(others.map(entry => [entry.endpoint, entry.load]));
    loads.set(asked, load);
    this.#candidates = this.#candidates.map(entry => ({
      ...entry,
      load: loads.get(entry.id) ?? entry.load,
    }));
  }

  /** Goes on with the estimate, as the keeper did not answer in time. */
  onLoadCheckTimeout(): void {
    if (this.#asked !== undefined) {
      this.#answered.add(this.#asked);
    }
  }

  #lastPlaceToCheck(limits: LoadBound): Candidate | undefined {
    const last = this.#candidates.find(
      ({ id }) => id === this.#request.affinityEndpoint,
    );
    return last && this.#isUncertain(last, limits) ? last : undefined;
  }

  #isUncertain(candidate: Candidate, limits: LoadBound): boolean {
    const { margin, maxLoadChecks: maxQuestions } = this.#settings;
    const limit = limits.limit(candidate);
    return (
      this.#questions < maxQuestions &&
      !this.#answered.has(candidate.id) &&
      Math.abs(limit - candidate.load) <= margin * Math.sqrt(limit)
    );
  }

  #ask(candidate: Candidate, limits: LoadBound): DecisionStep {
    this.#questions += 1;
    this.#asked = candidate.id;
    return {
      kind: 'ask',
      endpoint: candidate.id,
      limit: limits.limit(candidate),
    };
  }
}
