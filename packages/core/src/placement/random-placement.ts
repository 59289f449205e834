import type { Random } from '../random/random';
import type { Candidate, PlacementChoice, PlacementRequest } from './candidate';
import { Placement } from './placement';

/** Baseline: chooses any candidate with equal probability. */
export class RandomPlacement extends Placement {
  readonly #random: Random;

  constructor(random: Random) {
    super();
    this.#random = random;
  }

  override place(
    _request: PlacementRequest,
    candidates: readonly Candidate[],
  ): PlacementChoice {
    if (candidates.length === 0) {
      return { kind: 'no-candidate' };
    }
    const { id } = this.#random.pick(candidates);
    return { kind: 'endpoint', endpoint: id, reason: 'random' };
  }
}
