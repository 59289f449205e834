/** The one place where a request's outcome is derived and a refusal is made. */
import type { Outcome } from '../types/outcome';
import type { RefusalReason } from '../types/refusal';
import type { Milliseconds } from '../types/units';
import type { Refusal, RequestRow } from './types';

/**
 * Returns what may be said about a request. `not_run` is possible only while no
 * attempt may have reached an endpoint, or every one that did was declined.
 */
export function outcomeOf(row: RequestRow): Outcome {
  if (row.state.kind === 'finished') {
    return 'ran';
  }
  return row.mayHaveRun || inDoubt(row) ? 'unknown' : 'not_run';
}

/** Makes the refusal of a request in its present state. */
export function refusalOf(row: RequestRow, reason: RefusalReason): Refusal {
  return { reason, outcome: outcomeOf(row), retryAfter: retryAfterOf(reason) };
}

/** Makes the refusal of a message that never became a request. */
export function refuseUnaccepted(reason: RefusalReason): Refusal {
  return { reason, outcome: 'not_run', retryAfter: retryAfterOf(reason) };
}

/** Makes the refusal to go on with a stream that another attempt began. */
export function refuseResumption(reason: RefusalReason): Refusal {
  return { reason, outcome: 'unknown', retryAfter: undefined };
}

function inDoubt(row: RequestRow): boolean {
  return row.state.kind === 'sent' || row.state.kind === 'answering';
}

function retryAfterOf(reason: RefusalReason): Milliseconds | undefined {
  return 'retryAfter' in reason ? reason.retryAfter : undefined;
}
