/**
 * Derives the outcome of a request from its row, and makes refusals with it; no
 * other code states an outcome.
 */
import type { Outcome } from '../types/outcome';
import type { RefusalReason } from '../types/refusal';
import type { Milliseconds } from '../types/units';
import type { Refusal, RequestRow } from './types';

/**
 * Returns the outcome that may be reported for a request. `not_run` requires
 * that every attempt either did not reach its endpoint or was rejected by it.
 */
export function outcomeOf(row: RequestRow): Outcome {
  if (row.state.kind === 'finished') {
    return 'ran';
  }
  return row.mayHaveRun || hasRunningAttempt(row) ? 'unknown' : 'not_run';
}

/** Makes the refusal of a request with the outcome that its state allows. */
export function refusalOf(row: RequestRow, reason: RefusalReason): Refusal {
  return { reason, outcome: outcomeOf(row), retryAfter: retryAfterOf(reason) };
}

/** Makes the refusal of a message that was not accepted as a request. */
export function refuseUnaccepted(reason: RefusalReason): Refusal {
  return { reason, outcome: 'not_run', retryAfter: retryAfterOf(reason) };
}

/** Makes the refusal to resume a stream that another attempt started. */
export function refuseResumption(reason: RefusalReason): Refusal {
  return { reason, outcome: 'unknown', retryAfter: undefined };
}

function hasRunningAttempt(row: RequestRow): boolean {
  return row.state.kind === 'sent' || row.state.kind === 'answering';
}

function retryAfterOf(reason: RefusalReason): Milliseconds | undefined {
  return 'retryAfter' in reason ? reason.retryAfter : undefined;
}
