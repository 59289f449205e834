/** Placing of the request flow: keeps chats at their engine, below the bound. */
import type { LoadView } from '../loads/load-view';
import type { Evidence, EndpointTable } from '../membership/endpoint-table';
import type { Candidate, PlacementChoice } from '../placement/candidate';
import type { LastPlaces } from '../placement/last-places';
import type { Placement } from '../placement/placement';
import { PlacementStep } from '../requests/steps';
import type {
  AttemptReport,
  AttemptInfo,
  AttemptObserver,
  PlacementResult,
} from '../requests/steps';
import type { Request } from '../requests/types';
import { chatId } from '../types/ids';
import type { ChatId, EndpointId } from '../types/ids';
import { milliseconds } from '../types/units';
import type { Instant } from '../types/units';
import type { SuspectRegistry } from '../poison/suspect-registry';
import type { CrashWatch } from './crash-watch';
import type { EndpointPools } from './endpoint-pools';

export interface EndpointPlacingOptions {
  readonly pools: EndpointPools;
  /** Way of placing under the configuration in force. */
  readonly placementFor: (request: Request) => Placement;
  readonly loads: LoadView;
  readonly places: LastPlaces;
  readonly endpoints: EndpointTable;
  readonly crashes: CrashWatch;
  readonly suspects: SuspectRegistry;
  readonly observers: readonly AttemptObserver[];
}

const NO_ENDPOINT_RETRY = milliseconds(1000);

export class EndpointPlacing extends PlacementStep {
  readonly #options: EndpointPlacingOptions;

  constructor(options: EndpointPlacingOptions) {
    super();
    this.#options = options;
  }

  override choose(
    request: Request,
    avoided: readonly EndpointId[],
    now: Instant,
  ): PlacementResult {
    const suited = this.#options.pools.candidates(request.target, now);
    const candidates = suited.filter(({ id }) => !avoided.includes(id));
    const { crashes, suspects } = this.#options;
    if (crashes.inDoubt(request.fingerprint)) {
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

  override onAttemptStarted(facts: AttemptInfo, now: Instant): void {
    const { request, endpoint } = facts;
    this.#options.loads.started(endpoint, now);
    if (request.target.kind === 'chat') {
      this.#options.places.remember(request.target.chat, endpoint);
    }
    for (const observer of this.#options.observers) {
      observer.onAttemptStarted(facts, now);
    }
  }

  override onAttemptProgress(facts: AttemptInfo, now: Instant): void {
    for (const observer of this.#options.observers) {
      observer.onAttemptProgress(facts, now);
    }
  }

  override onAttemptEnded(
    facts: AttemptInfo,
    ending: AttemptReport,
    events: number,
    now: Instant,
  ): void {
    this.#options.loads.finished(facts.endpoint, now);
    const evidence = evidenceOf(ending);
    if (evidence) {
      this.#options.endpoints.evidence(facts.endpoint, evidence, now);
    }
    for (const observer of this.#options.observers) {
      observer.onAttemptEnded(facts, ending, events, now);
    }
  }

  #place(
    request: Request,
    candidates: readonly Candidate[],
    now: Instant,
  ): PlacementChoice {
    const chat = keyOf(request);
    const known = (id: EndpointId) => candidates.some(entry => entry.id === id);
    const lastPlace = this.#options.places.recall(
      chat,
      request.affinityEndpoint,
      known,
    );
    return this.#options
      .placementFor(request)
      .place({ chat, lastPlace }, candidates, now);
  }
}

/** Calls to plain services have no context to return to; each is spread on its own. */
function keyOf(request: Request): ChatId {
  return request.target.kind === 'chat'
    ? request.target.chat
    : chatId(request.id);
}

function answerOf(choice: PlacementChoice): PlacementResult {
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

function evidenceOf(ending: AttemptReport): Evidence | undefined {
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
