/** The load above which an endpoint takes nothing more. */
import { milliseconds } from '../types/units';
import type { Candidate } from './candidate';

/** Time after which a caller may try again when every endpoint is at its bound. */
export const SATURATED_RETRY_AFTER = milliseconds(1000);

/** Sum of the limits, in multiples of the total load, below which joining endpoints raise the others' limits. */
const minSpare = 1.1;

/** Load that an endpoint should carry, by its capacity and its ramp. */
function shareOf(candidate: Candidate): number {
  return candidate.capacity * candidate.weight;
}

/**
 * Bounds of a set of candidates: each may carry at most `bound` times the mean
 * load for its capacity, counting the request to be placed, rounded up, and
 * never more than its capacity. A joining endpoint's limit is a part of that.
 * When joining endpoints leave too little room in all, every limit rises.
 */
export class LoadBound {
  readonly #limitPerShare: number;
  readonly #meanPerShare: number;

  constructor(bound: number, candidates: readonly Candidate[]) {
    let total = 1;
    let capacity = 0;
    let shares = 0;
    for (const candidate of candidates) {
      total += candidate.load;
      capacity += candidate.capacity;
      shares += shareOf(candidate);
    }
    const byMean = capacity > 0 ? (bound * total) / capacity : 0;
    const byRoom =
      shares > 0 ? (Math.min(bound, minSpare) * total) / shares : 0;
    this.#meanPerShare = capacity > 0 ? (total - 1) / capacity : 0;
    this.#limitPerShare = Math.max(byMean, byRoom);
  }

  /** Returns the largest number of requests the candidate may carry. */
  limit(candidate: Candidate): number {
    const limit = Math.ceil(this.#limitPerShare * shareOf(candidate));
    return Math.min(limit, candidate.capacity);
  }

  /**
   * Tells whether the candidate may take one more request. One whose load is not
   * above the mean may always, so that fractional estimates of small loads never
   * close every candidate.
   */
  admits(candidate: Candidate): boolean {
    const { load, capacity } = candidate;
    if (load + 1 <= this.limit(candidate)) {
      return true;
    }
    const room = Math.floor(load) + 1 <= capacity;
    return room && load <= this.#meanPerShare * shareOf(candidate);
  }

  /** Returns the candidate's load as a fraction of its limit; infinite without a limit. */
  utilization(candidate: Candidate): number {
    const limit = this.limit(candidate);
    return limit > 0 ? candidate.load / limit : Number.POSITIVE_INFINITY;
  }
}
