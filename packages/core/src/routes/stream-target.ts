/** Picks the service of a stream by the request that begins it. */
import { rendezvousWeight } from '../hashing/rendezvous';
import type { RequestId, ServiceId } from '../types/ids';
import type { Route, RouteTarget } from './fleet-configuration';
import { pickTarget } from './route-table';

/** Salt of the hash that picks the service. */
const TARGET_KEY = 'target';
const HASH_RANGE = 2 ** 32;

/** Whether a stream of the route may go on at another endpoint. */
export function isResumable({ answer, repeatable }: Route): boolean {
  return answer.kind === 'stream' && repeatable;
}

/** Returns the same target for each use of the id while the targets stay the same. */
export function pickStreamTarget(
  route: Route,
  request: RequestId,
): RouteTarget | undefined {
  return pickTarget(route, rendezvousWeight(request, TARGET_KEY) / HASH_RANGE);
}

/** Services to which the route leads streams. */
export function streamServices({ answer, targets }: Route): ServiceId[] {
  if (answer.kind !== 'stream') {
    return [];
  }
  const weighted = targets.filter(({ weight }) => weight > 0);
  return (weighted.length > 0 ? weighted : targets.slice(-1)).map(
    ({ service }) => service,
  );
}
