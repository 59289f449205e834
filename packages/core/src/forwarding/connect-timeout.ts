/**
 * Computes the timeout for connecting to an endpoint, after which a request
 * goes to another one.
 */
import { milliseconds } from '../types/units';
import type { Milliseconds } from '../types/units';

/**
 * Timeout if there is no other endpoint; below the second after which a lost
 * SYN is retransmitted.
 */
const MAX_TIMEOUT: Milliseconds = milliseconds(700);
/**
 * Several round trips between regions (24 ms each), so that only endpoints that
 * are down time out.
 */
const MIN_TIMEOUT: Milliseconds = milliseconds(75);
/**
 * Fraction of the route's latency goal; the remainder suffices for another
 * endpoint, and a shorter timeout would fail working ones.
 */
const GOAL_FRACTION = 0.3;

/**
 * Every request may go to another endpoint after this timeout, as nothing is
 * sent while connecting.
 */
export function connectTimeout(
  goal: Milliseconds,
  otherEndpoints: number,
): Milliseconds {
  if (otherEndpoints === 0) {
    return MAX_TIMEOUT;
  }
  const timeout = Math.max(MIN_TIMEOUT, goal * GOAL_FRACTION);
  return milliseconds(Math.min(MAX_TIMEOUT, timeout));
}
