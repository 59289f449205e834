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
import { toInstant } from './router-fake';
import type { RouterFake } from './router-fake';
import {
  answerSize,
  loadSize,
  messageOverhead,
  questionSize,
} from './wire-sizes';

export class KeeperQuestions {
  readonly #routers: readonly RouterFake[];
  readonly #bytes: ByteMeter;
  readonly #bound: number;
  #asked = 0;

  constructor(routers: readonly RouterFake[], meter: ByteMeter, bound: number) {
    this.#routers = routers;
    this.#bytes = meter;
    this.#bound = bound;
  }

  /** Questions sent so far. */
  get asked(): number {
    return this.#asked;
  }

  /** Places a request with exact checks near the bound. */
  place(
    placement: Placement,
    request: PlacementRequest,
    router: RouterFake,
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
    router: RouterFake,
    endpoint: EndpointId,
    limit: number,
    now: number,
  ): void {
    const [first] = router.keepers.ownersOf(endpoint);
    const index = this.#routers.findIndex(({ id }) => id === first);
    const keeper = this.#routers[index];
    if (!keeper || keeper === router) {
      decision.onLoadCheckTimeout();
      return;
    }
    this.#asked += 1;
    this.#bytes.add(
      this.#routers.indexOf(router),
      messageOverhead + questionSize,
    );
    const answer = keeper.answer(router, endpoint, limit, now);
    this.#bytes.add(index, answerSize + answer.others.length * loadSize);
    for (const kept of [{ endpoint, load: answer.load }, ...answer.others]) {
      const engine = router.engine(kept.endpoint);
      if (engine) {
        router.hear(engine, Math.round(kept.load), now, now, true);
      }
    }
    decision.onLoadCheckResponse(answer);
  }
}
