/** Meters of memory and processor time for slopes. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

const MICROSECONDS_PER_MS = 1000;
const WARM_UP_ROUNDS = 3;

type GarbageCollector = () => void;

let collect: GarbageCollector | undefined;

/** Frees unreachable memory, so that the remaining heap growth is that of the measured value. */
function collectGarbage(): void {
  if (!collect) {
    setFlagsFromString('--expose-gc');
    collect = runInNewContext('gc') as GarbageCollector;
  }
  collect();
}

/** Returns the bytes of heap that a value retains. */
export function heapBytes(build: () => unknown): number {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const retained = [build()];
  collectGarbage();
  const bytes = process.memoryUsage().heapUsed - before;
  return retained.length > 0 ? bytes : 0;
}

/** Returns the mean microseconds of one round, after rounds that warm up the compiled code. */
export function microseconds(rounds: number, round: () => void): number {
  for (let warm = 0; warm < WARM_UP_ROUNDS; warm += 1) {
    round();
  }
  const startedAt = performance.now();
  for (let count = 0; count < rounds; count += 1) {
    round();
  }
  const elapsedMs = performance.now() - startedAt;
  return (elapsedMs * MICROSECONDS_PER_MS) / rounds;
}
