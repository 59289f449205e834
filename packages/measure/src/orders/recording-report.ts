/** Measures the orders per second that each recording strategy sustains, and the delay that it adds. */
import { Random } from '@sesamegrade/core/random/random';
import { EventQueue } from '../placement/event-queue';
import type { FigureRow } from '../report/figures';
import { quantile, rounded } from '../report/figures';
import type { RecordingStrategy } from './recording-strategy';
import {
  OwnerRows,
  RowPerOrder,
  RowsInTransactions,
  SharedResultRows,
} from './recording-strategy';
import { TableModel } from './table-model';

type RecordingFactory = (
  queue: EventQueue,
  table: TableModel,
) => RecordingStrategy;

const STRATEGIES: readonly RecordingFactory[] = [
  (queue, table) => new RowPerOrder(queue, table),
  (queue, table) => new RowsInTransactions(queue, table),
  (queue, table) => new SharedResultRows(queue, table),
  (queue, table) => new OwnerRows(queue, table, 4),
  (queue, table) => new OwnerRows(queue, table, 17),
];

const ROUTERS = 17;
const DURATION_MS = 60_000;
const MEAN_EXECUTION_MS = 100;
/** A strategy sustains a rate if the 95th percentile of its added delay is at most this. */
const MAX_P95_DELAY_MS = 250;
const RATE_STEP = 10;
/** Maximum rate tried; strategies that sustain it are not limited by writes. */
const MAX_RATE = 3000;
const REFERENCE_RATE = 100;

interface RateRun {
  readonly name: string;
  readonly p50: number;
  readonly p95: number;
  readonly writesPerSecond: number;
}

/** Runs one strategy at a rate of orders per second. */
function runAtRate(
  make: RecordingFactory,
  rate: number,
  seed: number,
): RateRun {
  const queue = new EventQueue();
  const random = new Random(seed);
  const table = new TableModel(queue, random);
  const recording = make(queue, table);
  const delays: number[] = [];
  const scheduleOrder = (at: number): void => {
    const router = random.integer(0, ROUTERS - 1);
    recording.recordClaim(at, router, confirmed => {
      delays.push(confirmed - at);
      const end = confirmed + random.exponential(MEAN_EXECUTION_MS);
      queue.add(end, () => {
        recording.recordResult(end, router);
      });
    });
    const next = at + random.exponential(1000 / rate);
    if (next < DURATION_MS) {
      queue.add(next, () => {
        scheduleOrder(next);
      });
    }
  };
  queue.add(0, () => {
    scheduleOrder(0);
  });
  for (let event = queue.take(); event; event = queue.take()) {
    event.run();
  }
  return {
    name: recording.name,
    p50: quantile(delays, 0.5),
    p95: quantile(delays, 0.95),
    writesPerSecond: (table.rows * 1000) / DURATION_MS,
  };
}

/** Finds the highest sustained rate by bisection, to within one rate step. */
function sustainedRate(make: RecordingFactory, seed: number): number {
  let low = RATE_STEP;
  let high = MAX_RATE;
  const isSustained = (rate: number) =>
    runAtRate(make, rate, seed).p95 <= MAX_P95_DELAY_MS;
  if (isSustained(high)) {
    return high;
  }
  while (high - low > RATE_STEP) {
    const middle = Math.round((low + high) / 2 / RATE_STEP) * RATE_STEP;
    if (isSustained(middle)) {
      low = middle;
    } else {
      high = middle;
    }
  }
  return low;
}

/** Returns one row of figures for each strategy. */
export function measureRecording(seed: number): FigureRow[] {
  return STRATEGIES.map(make => {
    const sustained = sustainedRate(make, seed);
    const atReference = runAtRate(make, REFERENCE_RATE, seed);
    const atHalfRate = runAtRate(make, sustained / 2, seed);
    return {
      way: atReference.name,
      'orders/s carried':
        sustained >= MAX_RATE ? `${MAX_RATE} or more` : sustained,
      [`writes/s at ${REFERENCE_RATE}`]: rounded(
        atReference.writesPerSecond,
        0,
      ),
      [`p50 ms at ${REFERENCE_RATE}`]: rounded(atReference.p50, 1),
      [`p95 ms at ${REFERENCE_RATE}`]: rounded(atReference.p95, 1),
      'p50 ms at half': rounded(atHalfRate.p50, 1),
      'p95 ms at half': rounded(atHalfRate.p95, 1),
    };
  });
}
