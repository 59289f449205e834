/** What a router learns of endpoints from its own attempts, and what its peers are told of it. */
import type { EndpointEntry } from '../endpoints/endpoint-entry';
import type { LoadEstimate } from '../engines/load-estimate';
import type { PartLocations, PartState } from '../engines/part-locations';
import type { ServiceHealth } from '../outliers/service-health';
import type { AttemptObservation } from '../outliers/attempt-observation';
import type { EjectionChange } from '../outliers/outlier-detector';
import { sharedParts } from '../prompts/prompt-chain';
import type { Prompt } from '../prompts/prompt-chain';
import type { FleetBudget } from '../retries/fleet-budget';
import { attemptId } from '../types/ids';
import type {
  AttemptId,
  EndpointId,
  PromptPartId,
  ServiceId,
} from '../types/ids';
import type { Instant, Milliseconds } from '../types/units';
import type { AttemptEnd } from './attempt-end';

/** Requests at an endpoint, as it says itself. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
}

/** Told of what is worth telling peers. */
export interface KnowledgeListener {
  loadChanged(endpoint: EndpointId, own: number): void;
  partChanged(part: PromptPartId, engine: EndpointId, state: PartState): void;
  standingChanged(change: EjectionChange): void;
}

export interface FleetKnowledgeParts {
  readonly loads: LoadEstimate;
  readonly locations: PartLocations;
  readonly health: ServiceHealth;
  readonly repeatBudget: FleetBudget;
  readonly now: () => Instant;
}

const SERVER_FAILURE = 500;

export class FleetKnowledge {
  readonly #parts: FleetKnowledgeParts;
  readonly #signs = new Map<EndpointId, Instant>();
  readonly #attempts = new Map<EndpointId, AttemptId[]>();
  #listener: KnowledgeListener | undefined;
  #nextAttempt = 0;

  constructor(parts: FleetKnowledgeParts) {
    this.#parts = parts;
  }

  listen(listener: KnowledgeListener): void {
    this.#listener = listener;
  }

  requestStarted(service: ServiceId): void {
    this.#parts.repeatBudget.requestStarted(service, this.#parts.now());
  }

  /** Takes one repeat from the budget of a service; false when none is left. */
  takeRepeat(service: ServiceId): boolean {
    return this.#parts.repeatBudget.take(service, this.#parts.now());
  }

  attemptStarted(endpoint: EndpointId, prompt: Prompt | undefined): void {
    const { loads, health, now } = this.#parts;
    loads.onRequestStarted(endpoint);
    this.#nextAttempt += 1;
    const attempt = attemptId(String(this.#nextAttempt));
    const open = this.#attempts.get(endpoint) ?? [];
    open.push(attempt);
    this.#attempts.set(endpoint, open);
    health.onAttemptStarted(endpoint, attempt, now());
    this.#listener?.loadChanged(endpoint, loads.ownInFlight(endpoint));
    this.#partsAt(endpoint, prompt, 'reading');
  }

  /** Notes that an engine has read a prompt, as its answer began. */
  promptRead(endpoint: EndpointId, prompt: Prompt): void {
    this.#partsAt(endpoint, prompt, 'held');
  }

  /** Notes that an engine says it holds a part. */
  partHeld(engine: EndpointId, part: PromptPartId): void {
    this.#partAt(engine, part, 'held');
  }

  attemptEnded(
    endpoint: EndpointId,
    end: AttemptEnd,
    firstToken: Milliseconds,
    reported: ReportedLoad | undefined,
    now: Instant,
  ): void {
    const { loads, health } = this.#parts;
    loads.onRequestEnded(endpoint);
    if (reported) {
      loads.onLoadReport(endpoint, reported.running + reported.waiting, now);
    }
    this.#listener?.loadChanged(endpoint, loads.ownInFlight(endpoint));
    const attempt = this.#attempts.get(endpoint)?.shift();
    if (!attempt) {
      return;
    }
    const evidence = evidenceOf(end, firstToken);
    for (const change of health.onAttemptEnded(
      endpoint,
      attempt,
      evidence,
      now,
    )) {
      this.#listener?.standingChanged(change);
    }
  }

  /** Notes that an endpoint said anything at all. */
  signOfLife(endpoint: EndpointId, now: Instant): void {
    this.#signs.set(endpoint, now);
  }

  lastSign(endpoint: EndpointId): Instant | undefined {
    return this.#signs.get(endpoint);
  }

  /** Takes the endpoints that the directory names. */
  endpointsChanged(entries: readonly EndpointEntry[], now: Instant): void {
    this.#parts.health.onEndpointsChanged(entries, now);
  }

  /** Forgets an endpoint that is gone or started anew. */
  forget(endpoint: EndpointId): void {
    this.#parts.loads.removeEndpoint(endpoint);
    this.#parts.locations.removeEngine(endpoint);
    this.#signs.delete(endpoint);
  }

  tick(now: Instant): void {
    for (const change of this.#parts.health.tick(now)) {
      this.#listener?.standingChanged(change);
    }
  }

  #partsAt(
    engine: EndpointId,
    prompt: Prompt | undefined,
    state: PartState,
  ): void {
    for (const { id } of prompt ? sharedParts(prompt) : []) {
      this.#partAt(engine, id, state);
    }
  }

  #partAt(engine: EndpointId, part: PromptPartId, state: PartState): void {
    if (this.#parts.locations.add(part, engine, state)) {
      this.#listener?.partChanged(part, engine, state);
    }
  }
}

/** Returns what an attempt's end says of its endpoint; undefined when nothing. */
function evidenceOf(
  end: AttemptEnd,
  firstToken: Milliseconds,
): AttemptObservation | undefined {
  switch (end.kind) {
    case 'answered':
    case 'delivered':
      return end.status >= SERVER_FAILURE
        ? { kind: 'error' }
        : { kind: 'answered', firstToken };
    case 'not-connected':
      return { kind: 'connection-refused' };
    case 'broken':
      return { kind: 'error' };
    case 'silent':
      return { kind: 'overdue' };
    case 'declined':
    case 'expired':
    case 'caller-left':
      return undefined;
  }
}
