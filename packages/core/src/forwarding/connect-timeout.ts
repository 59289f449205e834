/** How long a connection to an endpoint may take before a request goes elsewhere. */
import { milliseconds } from '../types/units';
import type { Milliseconds } from '../types/units';

/** Where there is no other endpoint; a lost opening packet is sent again after a second. */
const LONGEST: Milliseconds = milliseconds(700);
/** Several round trips between regions (24 ms), so that only an endpoint that is down is left. */
const SHORTEST: Milliseconds = milliseconds(75);
/** Part of the goal; what is left suffices elsewhere, and a shorter try would be none. */
const GOAL_SHARE = 0.3;

/** Nothing has been sent while a connection is made, so that any request may go elsewhere. */
export function connectTimeout(
  goal: Milliseconds,
  otherEndpoints: number,
): Milliseconds {
  if (otherEndpoints === 0) {
    return LONGEST;
  }
  const share = Math.max(SHORTEST, goal * GOAL_SHARE);
  return milliseconds(Math.min(LONGEST, share));
}
