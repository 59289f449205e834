/**
 * How long news wait for others of their kind. Every router hears every relay,
 * so the messages that all routers take grow with the square of the fleet unless
 * a larger fleet puts more news into each.
 */
import { milliseconds } from '../types/units';
import type { Milliseconds } from '../types/units';

/** Wait for news of parts in a small fleet: shorter than an engine takes to read one. */
const SMALL_FLEET_PART_DELAY = 25;
/** Wait for loads in a small fleet; over a relay a placement sees them at most twice this late. */
const SMALL_FLEET_LOAD_DELAY = 200;
/** Fleet up to which the waits do not grow. */
const SMALL_FLEET = 20;
/**
 * Growth of the wait per further router: 82 ms at 135. Loads go along, and over a
 * relay they must be younger than the 170 ms in which a busy engine of the largest
 * deployments takes what lies between our bound and the limit on uneven load.
 */
const PART_DELAY_PER_ROUTER = 0.5;
/** Longest wait; two routers that place the same new subject meanwhile agree by its hash. */
const LONGEST_PART_DELAY = 250;

/** Milliseconds that news of parts wait. */
export function promptPartUpdateDelay(fleetSize: number): Milliseconds {
  const further = Math.max(0, fleetSize - SMALL_FLEET);
  const delay = SMALL_FLEET_PART_DELAY + further * PART_DELAY_PER_ROUTER;
  return milliseconds(Math.min(LONGEST_PART_DELAY, delay));
}

/** Milliseconds that news of loads wait. */
export function loadUpdateDelay(fleetSize: number): Milliseconds {
  return milliseconds(
    Math.max(SMALL_FLEET_LOAD_DELAY, promptPartUpdateDelay(fleetSize)),
  );
}

/** Pause of a router in a small fleet before it asks for further changes of the endpoints. */
const PAUSE_PER_ROUTER = 8;
/** Longest pause: well under the 2 s in which a leaving endpoint must get nothing more. */
const LONGEST_PAUSE = 750;

/**
 * Milliseconds that a router waits after changes of the endpoints before it asks
 * for more, so that a wave of changes wakes a large fleet's calls once. Relays do
 * not wait: they tell of endpoints that leave.
 */
export function changeFeedPause(
  fleetSize: number,
  isRelay: boolean,
): Milliseconds {
  if (isRelay || fleetSize <= SMALL_FLEET) {
    return milliseconds(0);
  }
  return milliseconds(
    Math.min(LONGEST_PAUSE, (fleetSize - SMALL_FLEET) * PAUSE_PER_ROUTER),
  );
}
