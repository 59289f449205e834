/** Describes what a router observed of an endpoint during one attempt. */
import type { Milliseconds } from '../types/units';

export type AttemptObservation =
  /** A complete response; a plain service has no token gap. */
  | {
      readonly kind: 'answered';
      readonly firstToken: Milliseconds;
      readonly tokenGap?: Milliseconds;
    }
  /** A response that reports a fault, or a stream that was broken off. */
  | { readonly kind: 'error' }
  /** The endpoint refused the connection. */
  | { readonly kind: 'connection-refused' }
  /**
   * No response arrived, although other endpoints responded in the meantime.
   */
  | { readonly kind: 'overdue' };

/** Latencies above which a complete response counts as a failure. */
export interface LatencyLimits {
  readonly firstToken: Milliseconds;
  /** Mean time between the tokens of one response. */
  readonly tokenGap: Milliseconds;
}

/**
 * True when the endpoint responded completely and within the latency limits.
 */
export function isSuccess(
  observation: AttemptObservation,
  limits: LatencyLimits,
): boolean {
  if (observation.kind !== 'answered') {
    return false;
  }
  const { firstToken, tokenGap = 0 } = observation;
  return firstToken <= limits.firstToken && tokenGap <= limits.tokenGap;
}
