/** Small pure steps of a request's row. */
import type { Instant } from '../types/units';
import type { AttemptReport, AttemptInfo } from './steps';
import type {
  RejectionReason,
  Request,
  RequestCommand,
  RequestRow,
  RequestState,
} from './types';

/** Returns the state between an attempt and the decision on the next. */
export function retryState(now: Instant): RequestState {
  return { kind: 'waiting', on: 'retry', until: now };
}

/** Returns a declined attempt as evidence about its endpoint. */
export function rejectionReport(decline: RejectionReason): AttemptReport {
  switch (decline) {
    case 'full':
      return 'declined-full';
    case 'leaving':
      return 'declined-leaving';
    case 'unsuited':
      return 'declined-unsuited';
  }
}

/** Tells an order's row how the call ended, unless its answer tells that. */
export function settleCommands(
  row: RequestRow,
  state: RequestState,
): RequestCommand[] {
  const running = isRunning(row);
  const answered = state.kind === 'finished' && running;
  if (row.orderRecord !== 'open' || answered) {
    return [];
  }
  const ending = row.mayHaveRun || running ? 'in-doubt' : 'never-sent';
  return [{ kind: 'settle', request: row.id, disposition: ending }];
}

/** Whether an attempt of the request is under way. */
export function isRunning(row: RequestRow): boolean {
  return row.state.kind === 'sent' || row.state.kind === 'answering';
}

/** Whether running the request twice is allowed. */
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

/** Returns what identifies the attempt that is under way. */
export function attemptInfo(
  { request }: RequestRow,
  state: Extract<RequestState, { kind: 'sent' | 'answering' }>,
): AttemptInfo {
  return { request, attempt: state.attempt, endpoint: state.endpoint };
}
