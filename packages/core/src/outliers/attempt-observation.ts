/** What one attempt showed about the endpoint that ran it, from the caller's end. */
import type { Milliseconds } from '../types/units';

export type AttemptObservation =
  /** A whole answer; a plain service has no token gap. */
  | {
      readonly kind: 'answered';
      readonly firstToken: Milliseconds;
      readonly tokenGap?: Milliseconds;
    }
  /** An answer that reports a fault, or a stream that broke. */
  | { readonly kind: 'error' }
  /** Nobody accepted the connection. */
  | { readonly kind: 'connection-refused' }
  /** Nothing came back although other endpoints answered meanwhile. */
  | { readonly kind: 'overdue' };

/** Longest delays with which an answer still has its worth. */
export interface LatencyLimits {
  readonly firstToken: Milliseconds;
  /** Mean time between the tokens of one answer. */
  readonly tokenGap: Milliseconds;
}

/** True when the attempt shows that its endpoint works and is fast enough. */
export function isSuccess(
  evidence: AttemptObservation,
  horizon: LatencyLimits,
): boolean {
  if (evidence.kind !== 'answered') {
    return false;
  }
  const { firstToken, tokenGap = 0 } = evidence;
  return firstToken <= horizon.firstToken && tokenGap <= horizon.tokenGap;
}
