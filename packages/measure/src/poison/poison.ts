/** Measures the engines that one poison request crashes, over many seeds. */
import { quantile, rounded } from '../report/figures';
import type { FigureRow } from '../report/figures';
import { PoisonRun } from './poison-run';
import type { PoisonResult } from './poison-run';
import { DURATION_MS, ROUTER_COUNT } from './scenario';
import type { CallerBehaviour, Protection } from './scenario';

const RUNS_PER_ROW = 20;
const CALLER_BEHAVIOURS: readonly CallerBehaviour[] = [
  'patient',
  'impatient',
  'copies',
  'router-lost',
];
const PROTECTIONS: readonly Protection[] = ['none', 'own-evidence', 'shared'];

function summarise(
  protection: Protection,
  callerBehaviour: CallerBehaviour,
  results: readonly PoisonResult[],
): FigureRow {
  const lost = results.map(result => result.enginesLost);
  const sum = (pick: (result: PoisonResult) => number) =>
    results.reduce((total, result) => total + pick(result), 0);
  const cleared = results.flatMap(result => result.clearTimes);
  const isProtected = protection !== 'none';
  return {
    caller: callerBehaviour,
    protection,
    'engines lost mean': rounded(mean(lost)),
    'engines lost max': Math.max(...lost),
    'runs above 2': lost.filter(count => count > 2).length,
    interrupted: sum(result => result.interrupted),
    'innocent failed': sum(result => result.innocentFailed),
    'cleared p50 s': isProtected ? rounded(quantile(cleared, 0.5) / 1000) : '-',
    'cleared p99 s': isProtected
      ? rounded(quantile(cleared, 0.99) / 1000)
      : '-',
    'not cleared': isProtected ? sum(result => result.notCleared) : '-',
    'bytes/s per router': rounded(
      sum(result => result.bytes) /
        results.length /
        ROUTER_COUNT /
        (DURATION_MS / 1000),
    ),
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

export function measurePoison(seed: number): FigureRow[] {
  const rows: FigureRow[] = [];
  for (const callerBehaviour of CALLER_BEHAVIOURS) {
    for (const protection of PROTECTIONS) {
      const results = Array.from({ length: RUNS_PER_ROW }, (_, index) =>
        new PoisonRun({
          protection,
          callerBehaviour,
          seed: seed * 1000 + index,
        }).run(),
      );
      rows.push(summarise(protection, callerBehaviour, results));
    }
  }
  return rows;
}
