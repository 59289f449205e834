/**
 * Placement step of the request flow: returns chats to their affinity engine
 * while it is below its bound.
 */
import type { LoadView } from '../loads/load-view';
import type {
  EndpointSignal,
  EndpointTable,
} from '../membership/endpoint-table';
import type { Candidate, PlacementChoice } from '../placement/candidate';
import type { AffinityTable } from '../placement/affinity-table';
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
import type { CrashObserver } from './crash-observer';
import type { EndpointPools } from './endpoint-pools';

export interface EndpointPlacementStepOptions {
  readonly pools: EndpointPools;
  /** Returns the placement for a request under the accepted configuration. */
  readonly placementFor: (request: Request) => Placement;
  readonly loads: LoadView;
  readonly affinity: AffinityTable;
  readonly endpoints: EndpointTable;
  readonly crashObserver: CrashObserver;
  readonly suspects: SuspectRegistry;
  readonly observers: readonly AttemptObserver[];
}

const NO_ENDPOINT_RETRY = milliseconds(1000);

export class EndpointPlacementStep extends PlacementStep {
  readonly #options: EndpointPlacementStepOptions;

  constructor(options: EndpointPlacementStepOptions) {
    super();
    this.#options = options;
  }

  override choose(
    request: Request,
    avoided: readonly EndpointId[],
    now: Instant,
  ): PlacementResult {
    const eligible = this.#options.pools.candidates(request.target, now);
    const candidates = eligible.filter(({ id }) => !avoided.includes(id));
    const { crashObserver, suspects } = this.#options;
    if (crashObserver.isProbePending(request.fingerprint)) {
      return { kind: 'held' };
    }
    const byLoad = candidates.toSorted((left, right) => left.load - right.load);
    const ids = byLoad.map(({ id }) => id);
    const decision = suspects.decide(request.fingerprint, ids, now);
    switch (decision.kind) {
      case 'run':
        return toPlacementResult(
          this.#place(request, this.#withoutTrials(candidates), now),
        );
      case 'run-isolated':
        return { kind: 'endpoint', endpoint: decision.endpoint };
      case 'hold':
        return { kind: 'held' };
      case 'refuse':
        return { kind: 'refused', reason: decision.reason };
    }
  }

  /** Leaves out endpoints that run the trial of a suspect, if there are others. */
  #withoutTrials(candidates: readonly Candidate[]): readonly Candidate[] {
    const trials = this.#options.suspects.trialEndpoints();
    if (trials.length === 0) {
      return candidates;
    }
    const others = candidates.filter(({ id }) => !trials.includes(id));
    return others.length > 0 ? others : candidates;
  }

  override onAttemptStarted(info: AttemptInfo, now: Instant): void {
    const { request, endpoint } = info;
    this.#options.loads.onRequestStarted(endpoint, now);
    if (request.target.kind === 'chat') {
      this.#options.affinity.record(request.target.chat, endpoint);
    }
    for (const observer of this.#options.observers) {
      observer.onAttemptStarted(info, now);
    }
  }

  override onAttemptProgress(info: AttemptInfo, now: Instant): void {
    for (const observer of this.#options.observers) {
      observer.onAttemptProgress(info, now);
    }
  }

  override onAttemptEnded(
    info: AttemptInfo,
    report: AttemptReport,
    events: number,
    now: Instant,
  ): void {
    this.#options.loads.onRequestEnded(info.endpoint, now);
    const signal = signalOf(report);
    if (signal) {
      this.#options.endpoints.onSignal(info.endpoint, signal, now);
    }
    for (const observer of this.#options.observers) {
      observer.onAttemptEnded(info, report, events, now);
    }
  }

  #place(
    request: Request,
    candidates: readonly Candidate[],
    now: Instant,
  ): PlacementChoice {
    const chat = affinityKey(request);
    const isKnown = (id: EndpointId) =>
      candidates.some(entry => entry.id === id);
    const affinityEndpoint = this.#options.affinity.resolve(
      chat,
      request.affinityEndpoint,
      isKnown,
    );
    return this.#options
      .placementFor(request)
      .place({ chat, affinityEndpoint }, candidates, now);
  }
}

/**
 * Returns the affinity key. Calls to plain services have no context to reuse,
 * so each has its own key.
 */
function affinityKey(request: Request): ChatId {
  return request.target.kind === 'chat'
    ? request.target.chat
    : chatId(request.id);
}

function toPlacementResult(choice: PlacementChoice): PlacementResult {
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

function signalOf(report: AttemptReport): EndpointSignal | undefined {
  switch (report) {
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
