/** Simulates the exact load checks with the owners of engines near their bound. */
import type {
  Candidate,
  PlacementChoice,
  PlacementRequest,
} from '@sesamegrade/core/placement/candidate';
import type { Placement } from '@sesamegrade/core/placement/placement';
import {
  PlacementDecision,
  DEFAULT_DECISION_SETTINGS,
} from '@sesamegrade/core/placement/placement-decision';
import type { EndpointId } from '@sesamegrade/core/types/ids';
import type { ByteMeter } from './meters';
import { toInstant } from './simulated-router';
import type { SimulatedRouter } from './simulated-router';
import {
  QUERY_RESPONSE_BYTES,
  LOAD_ENTRY_BYTES,
  MESSAGE_OVERHEAD_BYTES,
  QUERY_BYTES,
} from './wire-sizes';

export class LoadChecker {
  readonly #routers: readonly SimulatedRouter[];
  readonly #bytes: ByteMeter;
  readonly #bound: number;
  #sentCount = 0;

  constructor(
    routers: readonly SimulatedRouter[],
    meter: ByteMeter,
    bound: number,
  ) {
    this.#routers = routers;
    this.#bytes = meter;
    this.#bound = bound;
  }

  /** Load checks sent so far. */
  get sentCount(): number {
    return this.#sentCount;
  }

  /** Places a request, with an exact check of each engine near the bound. */
  place(
    placement: Placement,
    request: PlacementRequest,
    router: SimulatedRouter,
    candidates: readonly Candidate[],
    now: number,
  ): PlacementChoice {
    const decision = new PlacementDecision(placement, request, candidates, {
      bound: this.#bound,
      ...DEFAULT_DECISION_SETTINGS,
    });
    for (;;) {
      const step = decision.next(toInstant(now));
      if (step.kind === 'chosen') {
        return step.choice;
      }
      this.#check(decision, router, step.endpoint, step.limit, now);
    }
  }

  #check(
    decision: PlacementDecision,
    router: SimulatedRouter,
    endpoint: EndpointId,
    limit: number,
    now: number,
  ): void {
    const [ownerId] = router.owners.ownersOf(endpoint);
    const index = this.#routers.findIndex(({ id }) => id === ownerId);
    const owner = this.#routers[index];
    if (!owner || owner === router) {
      decision.onLoadCheckTimeout();
      return;
    }
    this.#sentCount += 1;
    this.#bytes.add(
      this.#routers.indexOf(router),
      MESSAGE_OVERHEAD_BYTES + QUERY_BYTES,
    );
    const response = owner.checkLoad(router, endpoint, limit, now);
    this.#bytes.add(
      index,
      QUERY_RESPONSE_BYTES + response.others.length * LOAD_ENTRY_BYTES,
    );
    for (const owned of [
      { endpoint, load: response.load },
      ...response.others,
    ]) {
      const engine = router.engine(owned.endpoint);
      if (engine) {
        router.applyReport(engine, Math.round(owned.load), now, now, true);
      }
    }
    decision.onLoadCheckResponse(response);
  }
}
