/** Converts results to rows of figures. */
import { rounded } from '../report/figures';
import type { FigureRow } from '../report/figures';
import type { VariantResult } from './measurement';

/** Returns one row for each variant, with rounded figures. */
export function resultRows(results: readonly VariantResult[]): FigureRow[] {
  return results.map(({ way, measures }) => ({
    way,
    reuse: rounded(measures.reuse, 3),
    'skew mean': rounded(measures.skewMean, 3),
    'skew p99': rounded(measures.skewP99, 3),
    'engine s above': rounded(measures.engineSecondsAbove, 1),
    refused: rounded(measures.refused, 1),
    'B/s router': rounded(measures.bytesPerRouterSecond, 0),
    'B/s busiest': rounded(measures.bytesOfBusiestRouter, 0),
    questions: rounded(measures.questionsPerRequest, 2),
    'load error': rounded(measures.estimateError, 2),
    'us a decision': rounded(measures.decisionMicroseconds, 1),
  }));
}
