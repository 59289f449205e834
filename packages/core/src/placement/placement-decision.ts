/**
 * Placement of one request with exact load checks. An endpoint near its bound is
 * chosen only after its load owner has counted the request. A chat leaves its
 * affinity endpoint only after the owner has reported that endpoint as full.
 */
import type { LoadCheckResponse } from '../loads/load-owner';
import type { EndpointId } from '../types/ids';
import type { Instant } from '../types/units';
import type { Candidate, PlacementChoice, PlacementRequest } from './candidate';
import { LoadBound } from './load-bound';
import type { Placement } from './placement';

export type DecisionStep =
  /**
   * Send a load check to the endpoint's owner, then call `onLoadCheckResponse`
   * or `onLoadCheckTimeout`.
   */
  | {
      readonly kind: 'check';
      readonly endpoint: EndpointId;
      readonly limit: number;
    }
  | { readonly kind: 'chosen'; readonly choice: PlacementChoice };

export interface DecisionSettings {
  readonly bound: number;
  /**
   * Maximum distance of an estimated load from its limit at which it is checked,
   * in standard deviations of a Poisson-distributed load of that size.
   */
  readonly margin: number;
  /** Maximum load checks of one decision. */
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
  readonly #checked = new Set<EndpointId>();
  #candidates: readonly Candidate[];
  #lastChecked: EndpointId | undefined;
  #admitted: EndpointId | undefined;
  #checkCount = 0;

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

  /** Returns the next load check or the final choice. */
  next(now: Instant): DecisionStep {
    const limits = new LoadBound(this.#settings.bound, this.#candidates);
    const affinity = this.#affinityToCheck(limits);
    if (affinity) {
      return this.#check(affinity, limits);
    }
    const choice = this.#placement.place(this.#request, this.#candidates, now);
    if (choice.kind !== 'endpoint' || choice.endpoint === this.#admitted) {
      return { kind: 'chosen', choice };
    }
    const chosen = this.#candidates.find(({ id }) => id === choice.endpoint);
    if (chosen && this.#isUncertain(chosen, limits)) {
      return this.#check(chosen, limits);
    }
    return { kind: 'chosen', choice };
  }

  /** Applies the owner's response to the last load check. */
  onLoadCheckResponse({ admitted, load, others }: LoadCheckResponse): void {
    const endpoint = this.#lastChecked;
    if (endpoint === undefined) {
      return;
    }
    this.#checked.add(endpoint);
    this.#admitted = admitted ? endpoint : this.#admitted;
    const loads = new Map(others.map(entry => [entry.endpoint, entry.load]));
    loads.set(endpoint, load);
    this.#candidates = this.#candidates.map(entry => ({
      ...entry,
      load: loads.get(entry.id) ?? entry.load,
    }));
  }

  /** Continues with the estimate, as the owner did not respond in time. */
  onLoadCheckTimeout(): void {
    if (this.#lastChecked !== undefined) {
      this.#checked.add(this.#lastChecked);
    }
  }

  #affinityToCheck(limits: LoadBound): Candidate | undefined {
    const affinity = this.#candidates.find(
      ({ id }) => id === this.#request.affinityEndpoint,
    );
    return affinity && this.#isUncertain(affinity, limits)
      ? affinity
      : undefined;
  }

  #isUncertain(candidate: Candidate, limits: LoadBound): boolean {
    const { margin, maxLoadChecks } = this.#settings;
    const limit = limits.limit(candidate);
    return (
      this.#checkCount < maxLoadChecks &&
      !this.#checked.has(candidate.id) &&
      Math.abs(limit - candidate.load) <= margin * Math.sqrt(limit)
    );
  }

  #check(candidate: Candidate, limits: LoadBound): DecisionStep {
    this.#checkCount += 1;
    this.#lastChecked = candidate.id;
    return {
      kind: 'check',
      endpoint: candidate.id,
      limit: limits.limit(candidate),
    };
  }
}
