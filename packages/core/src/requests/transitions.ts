/** Pure functions on the rows of requests. */
import type { Instant } from '../types/units';
import type { AttemptReport, AttemptInfo } from './steps';
import type {
  RejectionReason,
  Request,
  RequestCommand,
  RequestRow,
  RequestState,
} from './types';

/** Returns the state between a failed attempt and the decision on a retry. */
export function retryState(now: Instant): RequestState {
  return { kind: 'waiting', on: 'retry', until: now };
}

/** Converts the reason of a rejected attempt to the report about its endpoint. */
export function rejectionReport(reason: RejectionReason): AttemptReport {
  switch (reason) {
    case 'full':
      return 'declined-full';
    case 'leaving':
      return 'declined-leaving';
    case 'unsuited':
      return 'declined-unsuited';
  }
}

/**
 * Returns the command that settles a recorded order; a complete response
 * settles the order itself.
 */
export function settleCommands(
  row: RequestRow,
  state: RequestState,
): RequestCommand[] {
  const isInFlight = isRunning(row);
  const isSettledByResponse = state.kind === 'finished' && isInFlight;
  if (row.orderRecord !== 'open' || isSettledByResponse) {
    return [];
  }
  const disposition = row.mayHaveRun || isInFlight ? 'in-doubt' : 'never-sent';
  return [{ kind: 'settle', request: row.id, disposition }];
}

/** Whether an attempt of the request is in progress. */
export function isRunning(row: RequestRow): boolean {
  return row.state.kind === 'sent' || row.state.kind === 'answering';
}

/** Whether the request may be run more than once. */
export function isRepeatable(request: Request): boolean {
  return request.target.kind === 'chat' || request.target.repeatable;
}

/** Returns the row of a request that has just arrived. */
export function newRow(request: Request): RequestRow {
  return {
    id: request.id,
    request,
    state: { kind: 'waiting', on: 'admission', until: request.deadline },
    mayHaveRun: false,
    delivered: false,
    attempts: 0,
    avoided: [],
    admitted: false,
    orderRecord: 'none',
  };
}

/** Returns the attempt that is in progress. */
export function attemptInfo(
  { request }: RequestRow,
  state: Extract<RequestState, { kind: 'sent' | 'answering' }>,
): AttemptInfo {
  return { request, attempt: state.attempt, endpoint: state.endpoint };
}
