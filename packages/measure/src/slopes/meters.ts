/** Meters of memory and processor time for slopes. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

const MICROSECONDS_PER_MS = 1000;
const WARM_UP_ROUNDS = 3;

type Collector = () => void;

let collect: Collector | undefined;

/** Frees unreachable memory, so that what is left belongs to what is measured. */
function collectGarbage(): void {
  if (!collect) {
    setFlagsFromString('--expose-gc');
    collect = runInNewContext('gc') as Collector;
  }
  collect();
}

/** Returns the bytes on the heap that a value keeps alive. */
export function heapBytes(build: () => unknown): number {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const kept = [build()];
  collectGarbage();
  const bytes = process.memoryUsage().heapUsed - before;
  return kept.length > 0 ? bytes : 0;
}

/** Returns the microseconds of one round, after some that warm the code up. */
export function microseconds(rounds: number, round: () => void): number {
  for (let warm = 0; warm < WARM_UP_ROUNDS; warm += 1) {
    round();
  }
  const began = performance.now();
  for (let count = 0; count < rounds; count += 1) {
    round();
  }
  const length = performance.now() - began;
  return (length * MICROSECONDS_PER_MS) / rounds;
}
