import type { Instant } from '../types/units';
import type { Candidate, PlacementChoice, PlacementRequest } from './candidate';

/** Chooses the endpoint of one request. All candidates must be able to run it. */
export abstract class Placement {
  abstract place(
    request: PlacementRequest,
    candidates: readonly Candidate[],
    now: Instant,
  ): PlacementChoice;
}
