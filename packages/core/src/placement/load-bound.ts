/** Load limits of endpoints, as in consistent hashing with bounded loads. */
import { milliseconds } from '../types/units';
import type { Candidate } from './candidate';

/** Time after which a caller may retry when every endpoint is at its bound. */
export const SATURATED_RETRY_AFTER = milliseconds(1000);

/**
 * Minimum sum of all limits as a multiple of the total load; limits rise to it
 * while endpoints join.
 */
const MIN_TOTAL_LIMIT_FACTOR = 1.1;

/** Capacity of an endpoint, reduced during its join ramp. */
function effectiveCapacity(candidate: Candidate): number {
  return candidate.capacity * candidate.weight;
}

/**
 * Limits of a set of candidates. Each may carry at most `bound` times the mean
 * load for its capacity, counting the request to be placed, rounded up, and
 * never more than its capacity. An endpoint in its join ramp gets a fraction of
 * that. If joining endpoints reduce the sum of the limits too far, all limits
 * rise.
 */
export class LoadBound {
  readonly #limitPerCapacity: number;
  readonly #meanPerCapacity: number;

  constructor(bound: number, candidates: readonly Candidate[]) {
    let total = 1;
    let capacity = 0;
    let effectiveTotal = 0;
    for (const candidate of candidates) {
      total += candidate.load;
      capacity += candidate.capacity;
      effectiveTotal += effectiveCapacity(candidate);
    }
    const byMean = capacity > 0 ? (bound * total) / capacity : 0;
    const byTotalLimit =
      effectiveTotal > 0
        ? (Math.min(bound, MIN_TOTAL_LIMIT_FACTOR) * total) / effectiveTotal
        : 0;
    this.#meanPerCapacity = capacity > 0 ? (total - 1) / capacity : 0;
    this.#limitPerCapacity = Math.max(byMean, byTotalLimit);
  }

  /** Returns the maximum number of requests that the candidate may carry. */
  limit(candidate: Candidate): number {
    const limit = Math.ceil(
      this.#limitPerCapacity * effectiveCapacity(candidate),
    );
    return Math.min(limit, candidate.capacity);
  }

  /**
   * Returns whether the candidate may take one more request. A candidate with a
   * free slot and a load not above the mean always may, so that fractional
   * estimates of small loads never close every candidate.
   */
  admits(candidate: Candidate): boolean {
    const { load, capacity } = candidate;
    if (load + 1 <= this.limit(candidate)) {
      return true;
    }
    const hasFreeSlot = Math.floor(load) + 1 <= capacity;
    return (
      hasFreeSlot &&
      load <= this.#meanPerCapacity * effectiveCapacity(candidate)
    );
  }

  /** Returns the candidate's load as a fraction of its limit; infinite without a limit. */
  utilization(candidate: Candidate): number {
    const limit = this.limit(candidate);
    return limit > 0 ? candidate.load / limit : Number.POSITIVE_INFINITY;
  }
}
