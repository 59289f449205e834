/**
 * Delays by which updates are batched. Every router receives from every relay,
 * so the number of messages in the fleet grows with the square of its size
 * unless a larger fleet batches more updates into each message.
 */
import { milliseconds } from '../types/units';
import type { Milliseconds } from '../types/units';

/**
 * Delay of prompt part updates in a small fleet: shorter than an engine takes
 * to read one part.
 */
const SMALL_FLEET_PART_DELAY_MS = 25;
/**
 * Delay of load updates in a small fleet; over a relay a placement sees them at
 * most twice this late.
 */
const SMALL_FLEET_LOAD_DELAY_MS = 200;
/** Fleet size up to which the delays do not grow. */
const SMALL_FLEET_SIZE = 20;
/**
 * Additional delay per further router: 82 ms at 135 routers. Load updates are
 * sent along with part updates. Over a relay they must be younger than 170 ms,
 * the time in which a busy engine of the largest deployments takes the requests
 * that lie between the load bound and the limit on uneven load.
 */
const PART_DELAY_PER_ROUTER_MS = 0.5;
/**
 * Additional delay per router of a fleet just above the small size, up to a limit. Most of the
 * cost of a frame does not depend on what it holds: with 25 ms, the frames that a router of 16
 * received took 15 to 18 % of its processor time.
 */
const MEDIUM_FLEET_DELAY_PER_ROUTER_MS = 5;
const MEDIUM_FLEET_PART_DELAY_MS = 80;
/**
 * Maximum delay; two routers that place the same new subject within it agree by
 * its hash.
 */
const MAX_PART_DELAY_MS = 250;
/**
 * Below the time for which the totals of a relay count beside those of the other one, as the
 * loads of the first relay come late while it sends a large configuration to all routers.
 */
const STANDBY_DELAY_MS = 250;

/** Returns the batching delay of prompt part updates. */
export function promptPartUpdateDelay(fleetSize: number): Milliseconds {
  const additionalRouters = Math.max(0, fleetSize - SMALL_FLEET_SIZE);
  const medium = Math.min(
    MEDIUM_FLEET_PART_DELAY_MS,
    SMALL_FLEET_PART_DELAY_MS +
      additionalRouters * MEDIUM_FLEET_DELAY_PER_ROUTER_MS,
  );
  const large =
    SMALL_FLEET_PART_DELAY_MS + additionalRouters * PART_DELAY_PER_ROUTER_MS;
  return milliseconds(Math.min(MAX_PART_DELAY_MS, Math.max(medium, large)));
}

/**
 * Returns the batching delay of the load and prompt part updates of a relay that is not the
 * first one: the first relay sends them as well, and the others use these only after its loss.
 */
export function standbyUpdateDelay(fleetSize: number): Milliseconds {
  return fleetSize <= SMALL_FLEET_SIZE
    ? milliseconds(0)
    : milliseconds(STANDBY_DELAY_MS);
}

/** Returns the batching delay of load updates. */
export function loadUpdateDelay(fleetSize: number): Milliseconds {
  return milliseconds(
    Math.max(SMALL_FLEET_LOAD_DELAY_MS, promptPartUpdateDelay(fleetSize)),
  );
}
