/** What a router learns of endpoints from its own attempts, and what its peers are told of it. */
import type { EndpointEntry } from '../endpoints/serving-endpoint';
import type { LoadEstimate } from '../engines/load-estimate';
import type { PartLocations, PartState } from '../engines/part-locations';
import type { ServiceHealth } from '../outliers/service-health';
import type { Evidence } from '../outliers/evidence';
import type { StandingChange } from '../outliers/outlier-detector';
import { sharedParts } from '../prompts/prompt-chain';
import type { Prompt } from '../prompts/prompt-chain';
import type { FleetRetryBudget } from '../retries/fleet-retry-budget';
import { attemptId } from '../types/ids';
import type {
  AttemptId,
  EndpointId,
  PromptPartId,
  ServiceId,
} from '../types/ids';
import type { Instant, Milliseconds } from '../types/units';
import type { AttemptResult } from './attempt-result';

/** Requests at an endpoint, as it says itself. */
export interface EndpointLoadReport {
  readonly running: number;
  readonly waiting: number;
}

/** Told of what is worth telling peers. */
export interface FleetStateListener {
  onLoadChanged(endpoint: EndpointId, own: number): void;
  onPartChanged(part: PromptPartId, engine: EndpointId, state: PartState): void;
  onEjectionChanged(change: StandingChange): void;
}

export interface FleetStateOptions {
  readonly loads: LoadEstimate;
  readonly locations: PartLocations;
  readonly health: ServiceHealth;
  readonly retryBudget: FleetRetryBudget;
  readonly now: () => Instant;
}

const SERVER_FAILURE = 500;

export class FleetState {
  readonly #parts: FleetStateOptions;
  readonly #signs = new Map<EndpointId, Instant>();
  readonly #attempts = new Map<EndpointId, AttemptId[]>();
  #listener: FleetStateListener | undefined;
  #nextAttempt = 0;

  constructor(parts: FleetStateOptions) {
    this.#parts = parts;
  }

  setListener(listener: FleetStateListener): void {
    this.#listener = listener;
  }

  onRequestStarted(service: ServiceId): void {
    this.#parts.retryBudget.onRequestStarted(service, this.#parts.now());
  }

  /** Takes one repeat from the budget of a service; false when none is left. */
  takeRetry(service: ServiceId): boolean {
    return this.#parts.retryBudget.take(service, this.#parts.now());
  }

  onAttemptStarted(endpoint: EndpointId, prompt: Prompt | undefined): void {
    const { loads, health, now } = this.#parts;
    loads.started(endpoint);
    this.#nextAttempt += 1;
    const attempt = attemptId(String(this.#nextAttempt));
    const open = this.#attempts.get(endpoint) ?? [];
    open.push(attempt);
    this.#attempts.set(endpoint, open);
    health.started(endpoint, attempt, now());
    this.#listener?.onLoadChanged(endpoint, loads.own(endpoint));
    this.#partsAt(endpoint, prompt, 'reading');
  }

  /** Notes that an engine has read a prompt, as its answer began. */
  onPromptRead(endpoint: EndpointId, prompt: Prompt): void {
    this.#partsAt(endpoint, prompt, 'held');
  }

  /** Notes that an engine says it holds a part. */
  onPartCached(engine: EndpointId, part: PromptPartId): void {
    this.#partAt(engine, part, 'held');
  }

  onAttemptEnded(
    endpoint: EndpointId,
    end: AttemptResult,
    firstToken: Milliseconds,
    reported: EndpointLoadReport | undefined,
    now: Instant,
  ): void {
    const { loads, health } = this.#parts;
    loads.ended(endpoint);
    if (reported) {
      loads.reported(endpoint, reported.running + reported.waiting, now);
    }
    this.#listener?.onLoadChanged(endpoint, loads.own(endpoint));
    const attempt = this.#attempts.get(endpoint)?.shift();
    if (!attempt) {
      return;
    }
    const evidence = evidenceOf(end, firstToken);
    for (const change of health.ended(endpoint, attempt, evidence, now)) {
      this.#listener?.onEjectionChanged(change);
    }
  }

  /** Notes that an endpoint said anything at all. */
  recordActivity(endpoint: EndpointId, now: Instant): void {
    this.#signs.set(endpoint, now);
  }

  lastActivityAt(endpoint: EndpointId): Instant | undefined {
    return this.#signs.get(endpoint);
  }

  /** Takes the endpoints that the directory names. */
  onEndpointsChanged(entries: readonly EndpointEntry[], now: Instant): void {
    this.#parts.health.endpointsChanged(entries, now);
  }

  /** Forgets an endpoint that is gone or started anew. */
  forget(endpoint: EndpointId): void {
    this.#parts.loads.forget(endpoint);
    this.#parts.locations.forgetEngine(endpoint);
    this.#signs.delete(endpoint);
  }

  tick(now: Instant): void {
    for (const change of this.#parts.health.tick(now)) {
      this.#listener?.onEjectionChanged(change);
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
      this.#listener?.onPartChanged(part, engine, state);
    }
  }
}

/** Returns what an attempt's end says of its endpoint; undefined when nothing. */
function evidenceOf(
  end: AttemptResult,
  firstToken: Milliseconds,
): Evidence | undefined {
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
