/** Measures how long a configuration takes to reach every router by gossip alone. */
import { GossipFleet } from './gossip-fleet';

/** Fleet sizes of today and of the plan, and two between. */
export const FLEET_SIZES: readonly number[] = [3, 17, 120, 370];

const LOSS = 0.01;
const WARM_UP_MS = 40_000;
const PAUSE_MS = 20_000;
const LIMIT_MS = 60_000;

export interface PropagationOptions {
  readonly seed: number;
  readonly sizes: readonly number[];
  /** Changes accepted per fleet, one after the other. */
  readonly changes: number;
}

/** Figures of one fleet size; times in milliseconds from acceptance. */
export interface PropagationFigures {
  readonly routers: number;
  readonly changes: number;
  /** Changes that did not reach every router in time. */
  readonly incomplete: number;
  /** Median over changes of the time until half of the routers had it. */
  readonly halfMs: number;
  /** Median over changes of the time until all had it. */
  readonly allMs: number;
  /** Longest time until all had it. */
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
  const fleet = new GossipFleet({ routers, seed: options.seed, loss: LOSS });
  fleet.advance(WARM_UP_MS);
  const half: number[] = [];
  const all: number[] = [];
  let incomplete = 0;
  for (let version = 1; version <= options.changes; version += 1) {
    fleet.acceptChange(version);
    const times = fleet.propagationTimes(version, LIMIT_MS);
    incomplete += times.length < routers ? 1 : 0;
    half.push(median(times));
    all.push(times.at(-1) ?? LIMIT_MS);
    fleet.advance(PAUSE_MS);
  }
  return {
    routers,
    changes: options.changes,
    incomplete,
    halfMs: median(half),
    allMs: median(all),
    worstMs: Math.max(...all),
    bytesPerRouterSecond: Math.round(fleet.bytesPerRouterSecond),
  };
}

/** Measures every fleet size; the same options give the same figures. */
export function measurePropagation(
  options: PropagationOptions,
): PropagationFigures[] {
  return options.sizes.map(size => measure(size, options));
}

/** Lays the figures out as a table. */
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
