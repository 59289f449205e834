/** Percentiles of a latency over a whole run and per second. */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

const MICROSECONDS_PER_MS = 1000;
const MS_PER_SECOND = 1000;
const MAX_MICROSECONDS = 600_000_000;
const SIGNIFICANT_DIGITS = 3;

/** Percentiles in milliseconds, and the number of values. */
export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Creates a histogram of microseconds, from 1 to `MAX_MICROSECONDS`. */
export function histogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    useWebAssembly: false,
  });
}

/** Returns percentiles in milliseconds of a histogram in microseconds. */
export function percentiles(values: Histogram): Percentiles {
  const at = (percentile: number) =>
    values.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return { count: values.totalCount, p50: at(50), p95: at(95), p99: at(99) };
}

export class Latencies {
  readonly #all = histogram();
  readonly #seconds = new Map<number, number[]>();

  /** @param at milliseconds from the start of the run */
  record(valueMs: number, at: number): void {
    const value = Math.round(Math.max(0, valueMs) * MICROSECONDS_PER_MS);
    this.#all.recordValue(Math.min(value, MAX_MICROSECONDS));
    const second = Math.floor(at / MS_PER_SECOND);
    const values = this.#seconds.get(second) ?? [];
    values.push(valueMs);
    this.#seconds.set(second, values);
  }

  /** Percentiles over the whole run, in milliseconds. */
  overall(): Percentiles {
    return percentiles(this.#all);
  }

  /** One percentile per second; seconds without values are omitted. */
  bySecond(percentile: number): [second: number, valueMs: number][] {
    return [...this.#seconds]
      .sort(([left], [right]) => left - right)
      .map(([second, values]) => [second, quantile(values, percentile / 100)]);
  }
}

/** Returns the value below which a fraction of the values lies; 0 for none. */
export function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.ceil(fraction * sorted.length) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}
