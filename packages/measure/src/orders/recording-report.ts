/** Orders per second that each way of recording carries, and the delay it adds. */
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

const WAYS: readonly RecordingFactory[] = [
  (queue, table) => new RowPerOrder(queue, table),
  (queue, table) => new RowsInTransactions(queue, table),
  (queue, table) => new SharedResultRows(queue, table),
  (queue, table) => new OwnerRows(queue, table, 4),
  (queue, table) => new OwnerRows(queue, table, 17),
];

const ROUTERS = 17;
const LENGTH_MS = 60_000;
const MEAN_RUN_MS = 100;
/** A way carries a rate while its p95 of added delay stays below this. */
const CARRIED_P95_MS = 250;
const RATE_STEP = 10;
/** Highest rate tried; ways that carry it are limited by other things than writes. */
const MAX_RATE = 3000;
const COMMON_RATE = 100;

interface Trial {
  readonly name: string;
  readonly p50: number;
  readonly p95: number;
  readonly writesPerSecond: number;
}

/** Runs one way at one rate of orders per second. */
function runTrial(make: RecordingFactory, rate: number, seed: number): Trial {
  const queue = new EventQueue();
  const random = new Random(seed);
  const table = new TableModel(queue, random);
  const recording = make(queue, table);
  const delays: number[] = [];
  const arrive = (at: number): void => {
    const router = random.integer(0, ROUTERS - 1);
    recording.recordClaim(at, router, confirmed => {
      delays.push(confirmed - at);
      const end = confirmed + random.exponential(MEAN_RUN_MS);
      queue.add(end, () => {
        recording.recordResult(end, router);
      });
    });
    const next = at + random.exponential(1000 / rate);
    if (next < LENGTH_MS) {
      queue.add(next, () => {
        arrive(next);
      });
    }
  };
  queue.add(0, () => {
    arrive(0);
  });
  for (let event = queue.take(); event; event = queue.take()) {
    event.run();
  }
  return {
    name: recording.name,
    p50: quantile(delays, 0.5),
    p95: quantile(delays, 0.95),
    writesPerSecond: (table.rows * 1000) / LENGTH_MS,
  };
}

/** Highest rate whose added delay stays within the limit; doubles, then steps. */
function carriedRate(make: RecordingFactory, seed: number): number {
  let low = RATE_STEP;
  let high = MAX_RATE;
  const carries = (rate: number) =>
    runTrial(make, rate, seed).p95 <= CARRIED_P95_MS;
  if (carries(high)) {
    return high;
  }
  while (high - low > RATE_STEP) {
    const middle = Math.round((low + high) / 2 / RATE_STEP) * RATE_STEP;
    if (carries(middle)) {
      low = middle;
    } else {
      high = middle;
    }
  }
  return low;
}

/** One row of figures for each way. */
export function measureRecording(seed: number): FigureRow[] {
  return WAYS.map(make => {
    const carried = carriedRate(make, seed);
    const common = runTrial(make, COMMON_RATE, seed);
    const half = runTrial(make, carried / 2, seed);
    return {
      way: common.name,
      'orders/s carried': carried >= MAX_RATE ? `${MAX_RATE} or more` : carried,
      [`writes/s at ${COMMON_RATE}`]: rounded(common.writesPerSecond, 0),
      [`p50 ms at ${COMMON_RATE}`]: rounded(common.p50, 1),
      [`p95 ms at ${COMMON_RATE}`]: rounded(common.p95, 1),
      'p50 ms at half': rounded(half.p50, 1),
      'p95 ms at half': rounded(half.p95, 1),
    };
  });
}
