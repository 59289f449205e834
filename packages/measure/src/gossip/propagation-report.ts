/** Measures how long a configuration version takes to reach every router by gossip alone. */
import { GossipFleet } from './gossip-fleet';

/** Fleet sizes from a small current fleet to the planned one. */
export const FLEET_SIZES: readonly number[] = [3, 17, 120, 370];

const MESSAGE_LOSS_FRACTION = 0.01;
const WARM_UP_MS = 40_000;
const PAUSE_BETWEEN_CHANGES_MS = 20_000;
const PROPAGATION_LIMIT_MS = 60_000;

export interface PropagationOptions {
  readonly seed: number;
  readonly sizes: readonly number[];
  /** Changes accepted in each fleet, one after the other. */
  readonly changes: number;
}

/** Figures of one fleet size; times in milliseconds since the change was accepted. */
export interface PropagationFigures {
  readonly routers: number;
  readonly changes: number;
  /** Changes that did not reach every router in time. */
  readonly incomplete: number;
  /** Median over the changes of the time until half of the routers had the version. */
  readonly halfMs: number;
  /** Median over the changes of the time until all routers had the version. */
  readonly allMs: number;
  /** Maximum over the changes of the time until all routers had the version. */
  readonly worstMs: number;
  readonly bytesPerRouterSecond: number;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}

function measure(
  routers: number,
  options: PropagationOptions,
): PropagationFigures {
  const fleet = new GossipFleet({
    routers,
    seed: options.seed,
    loss: MESSAGE_LOSS_FRACTION,
  });
  fleet.advance(WARM_UP_MS);
  const halfTimes: number[] = [];
  const allTimes: number[] = [];
  let incomplete = 0;
  for (let version = 1; version <= options.changes; version += 1) {
    fleet.acceptChange(version);
    const times = fleet.propagationTimes(version, PROPAGATION_LIMIT_MS);
    incomplete += times.length < routers ? 1 : 0;
    halfTimes.push(median(times));
    allTimes.push(times.at(-1) ?? PROPAGATION_LIMIT_MS);
    fleet.advance(PAUSE_BETWEEN_CHANGES_MS);
  }
  return {
    routers,
    changes: options.changes,
    incomplete,
    halfMs: median(halfTimes),
    allMs: median(allTimes),
    worstMs: Math.max(...allTimes),
    bytesPerRouterSecond: Math.round(fleet.bytesPerRouterSecond),
  };
}

/** Measures every fleet size; the same options give the same figures. */
export function measurePropagation(
  options: PropagationOptions,
): PropagationFigures[] {
  return options.sizes.map(size => measure(size, options));
}

/** Formats the figures as a text table. */
export function formatPropagation(
  figures: readonly PropagationFigures[],
): string {
  const lines = [
    'routers  changes  incomplete  half ms  all ms  worst ms  B/s',
  ];
  for (const row of figures) {
    const cells = [
      String(row.routers).padStart(7),
      String(row.changes).padStart(8),
      String(row.incomplete).padStart(11),
      String(row.halfMs).padStart(8),
      String(row.allMs).padStart(7),
      String(row.worstMs).padStart(9),
      String(row.bytesPerRouterSecond).padStart(5),
    ];
    lines.push(cells.join(' '));
  }
  return lines.join('\n');
}
