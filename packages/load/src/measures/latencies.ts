/** Percentiles of one duration over a run and second by second. */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

const MICROSECONDS_PER_MS = 1000;
const MS_PER_SECOND = 1000;
const LONGEST_MICROSECONDS = 600_000_000;
const SIGNIFICANT_DIGITS = 3;

export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Makes a histogram of microseconds. */
export function histogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: LONGEST_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    useWebAssembly: false,
  });
}

/** Returns percentiles in milliseconds. */
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
    this.#all.recordValue(Math.min(value, LONGEST_MICROSECONDS));
    const second = Math.floor(at / MS_PER_SECOND);
    const values = this.#seconds.get(second) ?? [];
    values.push(valueMs);
    this.#seconds.set(second, values);
  }

  /** Milliseconds over the whole run. */
  overall(): Percentiles {
    return percentiles(this.#all);
  }

  /** One percentile, second by second; seconds without values are left out. */
  bySecond(percentile: number): [second: number, valueMs: number][] {
    return [...this.#seconds]
      .sort(([left], [right]) => left - right)
      .map(([second, values]) => [second, quantile(values, percentile / 100)]);
  }
}

/** Returns the value below which a fraction of the values lies; 0 for none. */
export function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const place = Math.ceil(fraction * sorted.length) - 1;
  return sorted[Math.max(0, place)] ?? 0;
}
