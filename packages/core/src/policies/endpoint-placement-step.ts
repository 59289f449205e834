/** Placing of the request flow: keeps chats at their engine, below the bound. */
import type { LoadView } from '../loads/load-view';
import type { Evidence, EndpointTable } from '../membership/endpoint-table';
import type { Candidate, PlacementChoice } from '../placement/candidate';
import type { AffinityTable } from '../placement/affinity-table';
import type { Placement } from '../placement/placement';
import { PlacingStep } from '../requests/steps';
import type {
  AttemptEnding,
  AttemptFacts,
  AttemptObserver,
  PlacingAnswer,
} from '../requests/steps';
import type { Request } from '../requests/types';
import { chatId } from '../types/ids';
import type { ChatId, EndpointId } from '../types/ids';
import { milliseconds } from '../types/units';
import type { Instant } from '../types/units';
import type { SuspectRegistry } from '../poison/suspect-registry';
import type { CrashObserver } from './crash-observer';
import type { EndpointPools } from './endpoint-pools';

export interface EndpointPlacementStepOptions {
  readonly pools: EndpointPools;
  /** Way of placing under the configuration in force. */
  readonly placementFor: (request: Request) => Placement;
  readonly loads: LoadView;
  readonly affinity: AffinityTable;
  readonly endpoints: EndpointTable;
  readonly crashObserver: CrashObserver;
  readonly suspects: SuspectRegistry;
  readonly observers: readonly AttemptObserver[];
}

const NO_ENDPOINT_RETRY = milliseconds(1000);

export class EndpointPlacementStep extends PlacingStep {
  readonly #options: EndpointPlacementStepOptions;

  constructor(options: EndpointPlacementStepOptions) {
    super();
    this.#options = options;
  }

  override choose(
    request: Request,
    avoided: readonly EndpointId[],
    now: Instant,
  ): PlacingAnswer {
    const suited = this.#options.pools.candidates(request.target, now);
    const candidates = suited.filter(({ id }) => !avoided.includes(id));
    const { crashObserver: crashes, suspects } = this.#options;
    if (crashes.isProbePending(request.fingerprint)) {
      return { kind: 'held' };
    }
    const leastLoss = candidates.toSorted(
      (left, right) => left.load - right.load,
    );
    const ids = leastLoss.map(({ id }) => id);
    const decision = suspects.decide(request.fingerprint, ids, now);
    switch (decision.kind) {
      case 'run':
        return answerOf(this.#place(request, this.#spared(candidates), now));
      case 'run-isolated':
        return { kind: 'endpoint', endpoint: decision.endpoint };
      case 'hold':
        return { kind: 'held' };
      case 'refuse':
        return { kind: 'refused', reason: decision.reason };
    }
  }

  /** Leaves out endpoints where a suspect runs, while there are others. */
  #spared(candidates: readonly Candidate[]): readonly Candidate[] {
    const trials = this.#options.suspects.trialEndpoints();
    if (trials.length === 0) {
      return candidates;
    }
    const others = candidates.filter(({ id }) => !trials.includes(id));
    return others.length > 0 ? others : candidates;
  }

  override started(facts: AttemptFacts, now: Instant): void {
    const { request, endpoint } = facts;
    this.#options.loads.onRequestStarted(endpoint, now);
    if (request.target.kind === 'chat') {
      this.#options.affinity.record(request.target.chat, endpoint);
    }
    for (const observer of this.#options.observers) {
      observer.started(facts, now);
    }
  }

  override progressed(facts: AttemptFacts, now: Instant): void {
    for (const observer of this.#options.observers) {
      observer.progressed(facts, now);
    }
  }

  override ended(
    facts: AttemptFacts,
    ending: AttemptEnding,
    events: number,
    now: Instant,
  ): void {
    this.#options.loads.onRequestEnded(facts.endpoint, now);
    const evidence = evidenceOf(ending);
    if (evidence) {
      this.#options.endpoints.evidence(facts.endpoint, evidence, now);
    }
    for (const observer of this.#options.observers) {
      observer.ended(facts, ending, events, now);
    }
  }

  #place(
    request: Request,
    candidates: readonly Candidate[],
    now: Instant,
  ): PlacementChoice {
    const chat = keyOf(request);
    const known = (id: EndpointId) => candidates.some(entry => entry.id === id);
    const lastPlace = this.#options.affinity.resolve(
      chat,
      request.lastPlace,
      known,
    );
    return this.#options
      .placementFor(request)
      .place({ chat, affinityEndpoint: lastPlace }, candidates, now);
  }
}

/** Calls to plain services have no context to return to; each is spread on its own. */
function keyOf(request: Request): ChatId {
  return request.target.kind === 'chat'
    ? request.target.chat
    : chatId(request.id);
}

function answerOf(choice: PlacementChoice): PlacingAnswer {
  switch (choice.kind) {
    case 'endpoint':
      return { kind: 'endpoint', endpoint: choice.endpoint };
    case 'saturated':
      return { kind: 'saturated', retryAfter: choice.retryAfter };
    case 'no-candidate':
      return {
        kind: 'refused',
        reason: { kind: 'no-endpoint', retryAfter: NO_ENDPOINT_RETRY },
      };
  }
}

function evidenceOf(ending: AttemptEnding): Evidence | undefined {
  switch (ending) {
    case 'finished':
      return 'answered';
    case 'declined-leaving':
      return 'refused-as-leaving';
    case 'not-sent':
      return 'connection-failed';
    default:
      return undefined;
  }
}
