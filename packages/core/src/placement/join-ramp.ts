/** Weight of an endpoint that joined a short time ago and has a cold cache. */
import { elapsed, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Time in which a joining endpoint reaches its full weight. */
export const DEFAULT_RAMP_TIME: Milliseconds = milliseconds(30_000);

/** Weight at the moment of joining. */
const firstWeight = 0.1;

/** Returns the weight in 0.1..1 of an endpoint that joined at a time. */
export function joinWeight(
  joinedAt: Instant,
  now: Instant,
  rampTime: Milliseconds = DEFAULT_RAMP_TIME,
): number {
  const age = Math.max(0, elapsed(joinedAt, now));
  return Math.min(1, firstWeight + ((1 - firstWeight) * age) / rampTime);
}
