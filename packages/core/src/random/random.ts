/** A seeded generator of random numbers, passed to every decision so that runs can be repeated. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

export class Random {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns a number in [0, 1). */
  fraction(): number {
    return uniformFloat64(this.#generator);
  }

  /** Returns an integer from `low` to `high`, both inclusive. */
  integer(low: number, high: number): number {
    return uniformInt(this.#generator, low, high);
  }

  /** Returns one element; the list must not be empty. */
  pick<Value>(values: readonly Value[]): Value {
    return values[this.integer(0, values.length - 1)] as Value;
  }

  /** Returns an exponentially distributed number with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.fraction());
  }

  /** Returns a seed for an independent generator. */
  seed(): number {
    return this.integer(0, 0x7fffffff);
  }
}
