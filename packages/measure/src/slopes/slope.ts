/** Estimates how a cost grows with a size, from measurements at several sizes. */

/** A cost that is measured at several sizes. */
export abstract class Slope {
  /** Name of the measured cost, such as `memory per remembered chat`. */
  abstract readonly name: string;
  /** Unit of the cost, such as `bytes`. */
  abstract readonly unit: string;
  /** Role of the routers that bear the cost. */
  abstract readonly role: string;
  /** Sizes at which the cost is measured; at least three. */
  abstract readonly sizes: readonly number[];
  /** Size that a router must handle in the largest planned fleet. */
  abstract readonly target: number;

  /** Returns the total cost at a size, in the unit. */
  abstract measure(size: number, seed: number): number;
}

/** A line through the measurements of one run. */
export interface Fit {
  readonly perItem: number;
  readonly fixed: number;
}

export interface SlopeResult {
  readonly name: string;
  readonly role: string;
  readonly unit: string;
  readonly sizes: readonly number[];
  readonly target: number;
  /** Median over the runs. */
  readonly perItem: number;
  /** Minimum and maximum of the runs. */
  readonly spread: readonly [number, number];
  /** Cost at the target size, extrapolated from the median run. */
  readonly atTarget: number;
}

/** Fits a line by least squares. */
export function fitLine(
  points: readonly (readonly [size: number, cost: number])[],
): Fit {
  const count = points.length;
  const meanSize = points.reduce((sum, [size]) => sum + size, 0) / count;
  const meanCost = points.reduce((sum, [, cost]) => sum + cost, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const [size, cost] of points) {
    covariance += (size - meanSize) * (cost - meanCost);
    variance += (size - meanSize) ** 2;
  }
  const perItem = variance > 0 ? covariance / variance : 0;
  return { perItem, fixed: meanCost - perItem * meanSize };
}

/** Measures a slope several times, each run with its own seed. */
export function measureSlope(
  slope: Slope,
  runs: number,
  seed: number,
): SlopeResult {
  const fits = Array.from({ length: runs }, (_, run) =>
    fitLine(
      slope.sizes.map(size => [size, slope.measure(size, seed + run)] as const),
    ),
  );
  fits.sort((left, right) => left.perItem - right.perItem);
  const median = fits[Math.floor(fits.length / 2)] ?? { perItem: 0, fixed: 0 };
  return {
    name: slope.name,
    role: slope.role,
    unit: slope.unit,
    sizes: slope.sizes,
    target: slope.target,
    perItem: median.perItem,
    spread: [fits[0]?.perItem ?? 0, fits.at(-1)?.perItem ?? 0],
    atTarget: Math.max(0, median.fixed) + median.perItem * slope.target,
  };
}
