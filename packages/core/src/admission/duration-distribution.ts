/** Recent durations of requests, in a fixed number of logarithmic buckets; older ones lose weight. */
import { milliseconds } from '../types/units';
import type { Milliseconds } from '../types/units';

/** Ratio of the bounds of a bucket: a quantile is up to a fifth too low. */
const BUCKET_RATIO = 1.25;
/** The last bucket begins at 1.25^63 ms, about 21 minutes. */
const BUCKETS = 64;
/** Weight that older durations keep at each new one: about the last 64 count. */
const PERSISTENCE = 1 - 1 / 64;
/** Weight from which the oldest weights are scaled down, so that they stay finite. */
const MAX_WEIGHT = 1e12;

export class DurationDistribution {
  readonly #weights = new Float64Array(BUCKETS);
  #nextWeight = 1;
  #totalWeight = 0;
  #count = 0;
  #mean = 0;

  /** Number of durations since the start, up to the number that has any effect. */
  get count(): number {
    return this.#count;
  }

  /** Mean of the recent durations; 0 before the first one. */
  get mean(): Milliseconds {
    return milliseconds(this.#mean);
  }

  record(duration: Milliseconds): void {
    if (!(duration >= 0) || duration === Number.POSITIVE_INFINITY) {
      return;
    }
    const bucket = bucketOf(duration);
    this.#weights[bucket] = (this.#weights[bucket] ?? 0) + this.#nextWeight;
    this.#totalWeight += this.#nextWeight;
    this.#mean +=
      ((duration - this.#mean) * this.#nextWeight) / this.#totalWeight;
    this.#count = Math.min(this.#count + 1, BUCKETS);
    this.#nextWeight /= PERSISTENCE;
    if (this.#nextWeight > MAX_WEIGHT) {
      this.#scaleDown();
    }
  }

  /** Lower bound of the duration below which the fraction of recent durations lies; 0 without any. */
  quantile(fraction: number): Milliseconds {
    let remaining = fraction * this.#totalWeight;
    for (const [bucket, weight] of this.#weights.entries()) {
      remaining -= weight;
      if (remaining < 0) {
        return milliseconds(bucket === 0 ? 0 : BUCKET_RATIO ** bucket);
      }
    }
    return milliseconds(0);
  }

  #scaleDown(): void {
    for (const [bucket, weight] of this.#weights.entries()) {
      this.#weights[bucket] = weight / this.#nextWeight;
    }
    this.#totalWeight /= this.#nextWeight;
    this.#nextWeight = 1;
  }
}

function bucketOf(duration: number): number {
  const exponent = Math.log(Math.max(1, duration)) / Math.log(BUCKET_RATIO);
  return Math.min(BUCKETS - 1, Math.floor(exponent));
}
