/** Questions to the keepers of engines near their bound, in a measurement. */
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
  LOAD_CHECK_RESPONSE_BYTES,
  LOAD_ENTRY_BYTES,
  MESSAGE_OVERHEAD_BYTES,
  LOAD_CHECK_REQUEST_BYTES,
} from './wire-sizes';

export class LoadChecker {
  readonly #routers: readonly SimulatedRouter[];
  readonly #bytes: ByteMeter;
  readonly #bound: number;
  #asked = 0;

  constructor(
    routers: readonly SimulatedRouter[],
    meter: ByteMeter,
    bound: number,
  ) {
    this.#routers = routers;
    this.#bytes = meter;
    this.#bound = bound;
  }

  /** Questions sent so far. */
  get sentCount(): number {
    return this.#asked;
  }

  /** Places a request with exact checks near the bound. */
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
      this.#ask(decision, router, step.endpoint, step.limit, now);
    }
  }

  #ask(
    decision: PlacementDecision,
    router: SimulatedRouter,
    endpoint: EndpointId,
    limit: number,
    now: number,
  ): void {
    const [first] = router.owners.ownersOf(endpoint);
    const index = this.#routers.findIndex(({ id }) => id === first);
    const keeper = this.#routers[index];
    if (!keeper || keeper === router) {
      decision.onLoadCheckTimeout();
      return;
    }
    this.#asked += 1;
    this.#bytes.add(
      this.#routers.indexOf(router),
      MESSAGE_OVERHEAD_BYTES + LOAD_CHECK_REQUEST_BYTES,
    );
    const answer = keeper.checkLoad(router, endpoint, limit, now);
    this.#bytes.add(
      index,
      LOAD_CHECK_RESPONSE_BYTES + answer.others.length * LOAD_ENTRY_BYTES,
    );
    for (const kept of [{ endpoint, load: answer.load }, ...answer.others]) {
      const engine = router.engine(kept.endpoint);
      if (engine) {
        router.applyReport(engine, Math.round(kept.load), now, now, true);
      }
    }
    decision.onLoadCheckResponse(answer);
  }
}
