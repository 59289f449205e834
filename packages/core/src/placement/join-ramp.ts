/**
 * Load weight of an endpoint that has just joined and has a cold cache, as in
 * Envoy's slow start mode.
 */
import { elapsed, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Time after which a joining endpoint has its full weight. */
export const DEFAULT_RAMP_TIME: Milliseconds = milliseconds(30_000);

/** Weight at the time of joining. */
const INITIAL_WEIGHT = 0.1;

/** Returns the weight, in 0.1..1, of an endpoint that joined at the given time. */
export function joinWeight(
  joinedAt: Instant,
  now: Instant,
  rampTime: Milliseconds = DEFAULT_RAMP_TIME,
): number {
  const age = Math.max(0, elapsed(joinedAt, now));
  return Math.min(1, INITIAL_WEIGHT + ((1 - INITIAL_WEIGHT) * age) / rampTime);
}
