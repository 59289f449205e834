/** Engines of which some take longer for their work in each period. */
import { Random } from '@sesamegrade/core/random/random';

export interface NoiseOptions {
  /** Share, in 0..1, of the engines that are slow in a period. */
  readonly share: number;
  readonly slowdown: number;
  /** Length of a period in ms. */
  readonly period: number;
}

export const NO_NOISE: NoiseOptions = { share: 0, slowdown: 1, period: 600 };

export class EngineNoise {
  readonly #options: NoiseOptions;
  readonly #random: Random;
  readonly #engines: number;
  /** The slowdowns of the engines by period. */
  readonly #periods: Float64Array[] = [];

  constructor(engines: number, options: NoiseOptions, seed: number) {
    this.#engines = engines;
    this.#options = options;
    this.#random = new Random(seed);
  }

  slowdown(engine: number, at: number): number {
    return this.#ofPeriod(this.#periodOf(at))[engine] ?? 1;
  }

  /** Time at which work of a length in ms, begun at a time, is done. */
  finish(engine: number, start: number, work: number): number {
    const { period } = this.#options;
    let at = start;
    let left = work;
    for (;;) {
      const index = this.#periodOf(at);
      const slowdown = this.#ofPeriod(index)[engine] ?? 1;
      const end = (index + 1) * period;
      if (at + left * slowdown <= end) {
        return at + left * slowdown;
      }
      left -= (end - at) / slowdown;
      at = end;
    }
  }

  #periodOf(at: number): number {
    return Math.max(0, Math.floor(at / this.#options.period));
  }

  #ofPeriod(index: number): Float64Array {
    const { share, slowdown } = this.#options;
    while (this.#periods.length <= index) {
      this.#periods.push(
        Float64Array.from({ length: this.#engines }, () =>
          this.#random.fraction() < share ? slowdown : 1,
        ),
      );
    }
    return this.#periods[index] ?? new Float64Array();
  }
}
