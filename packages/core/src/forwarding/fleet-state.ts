/**
 * State of the fleet that a router derives from its own attempts; a listener
 * sends changes to peers.
 */
import type {
  EndpointLimits,
  LimitStatement,
} from '../endpoint-limits/endpoint-limits';
import type { EndpointDirectory } from '../endpoints/endpoint-directory';
import type { EndpointEntry } from '../endpoints/endpoint-entry';
import type { RefusalHolds } from '../endpoints/refusal-holds';
import type { LoadEstimate } from '../engines/load-estimate';
import type { PartLocations, PartState } from '../engines/part-locations';
import type { ServiceHealth } from '../outliers/service-health';
import type { AttemptObservation } from '../outliers/attempt-observation';
import type { EjectionChange } from '../outliers/outlier-detector';
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

/** Numbers of requests that an endpoint reports for itself, and its slowdown. */
export interface EndpointLoadReport {
  readonly running: number;
  readonly waiting: number;
  /** Time that work takes, as a multiple of the usual time; undefined if not stated. */
  readonly slowdown: number | undefined;
}

/** Is notified of changes that must be sent to peers. */
export interface FleetStateListener {
  onLoadChanged(endpoint: EndpointId, own: number): void;
  onPartChanged(part: PromptPartId, engine: EndpointId, state: PartState): void;
  onEjectionChanged(change: EjectionChange): void;
  /** An endpoint stated in a response that it is about to stop. */
  onEndpointLeaving(endpoint: EndpointEntry): void;
  /** Another instance answers at the address of an endpoint. */
  onEndpointReplaced(endpoint: EndpointEntry): void;
}

/** What the head of a response says about the endpoint itself. */
export interface EndpointStatement extends LimitStatement {
  readonly status: number;
  readonly isLeaving: boolean;
  readonly retryAfter: Milliseconds | undefined;
  readonly load: EndpointLoadReport | undefined;
}

export interface FleetStateOptions {
  readonly loads: LoadEstimate;
  readonly locations: PartLocations;
  readonly health: ServiceHealth;
  readonly holds: RefusalHolds;
  readonly endpointLimits: EndpointLimits;
  readonly endpointDirectory: EndpointDirectory;
  readonly retryBudget: FleetRetryBudget;
  readonly now: () => Instant;
}

const MIN_SERVER_ERROR_STATUS = 500;
const STATUS_MISDIRECTED = 421;
const STATUS_UNAVAILABLE = 503;

export class FleetState {
  readonly #options: FleetStateOptions;
  readonly #lastActivity = new Map<EndpointId, Instant>();
  readonly #openAttempts = new Map<EndpointId, AttemptId[]>();
  #listener: FleetStateListener | undefined;
  #nextAttempt = 0;

  constructor(options: FleetStateOptions) {
    this.#options = options;
  }

  setListener(listener: FleetStateListener): void {
    this.#listener = listener;
  }

  onRequestStarted(service: ServiceId): void {
    this.#options.retryBudget.onRequestStarted(service, this.#options.now());
  }

  /** Takes one retry from the budget of a service; returns false when none is available. */
  takeRetry(service: ServiceId): boolean {
    return this.#options.retryBudget.take(service, this.#options.now());
  }

  onAttemptStarted(endpoint: EndpointId, prompt: Prompt | undefined): void {
    const { loads, health, now } = this.#options;
    loads.onRequestStarted(endpoint);
    this.#nextAttempt += 1;
    const attempt = attemptId(String(this.#nextAttempt));
    const attempts = this.#openAttempts.get(endpoint) ?? [];
    attempts.push(attempt);
    this.#openAttempts.set(endpoint, attempts);
    health.onAttemptStarted(endpoint, attempt, now());
    this.#listener?.onLoadChanged(endpoint, loads.ownInFlight(endpoint));
    this.#recordParts(endpoint, prompt, 'reading');
  }

  /** Records that an engine has read a prompt, as its response has started. */
  onPromptRead(endpoint: EndpointId, prompt: Prompt): void {
    this.#recordParts(endpoint, prompt, 'held');
  }

  /** Records that an engine reported a part as cached. */
  onPartCached(engine: EndpointId, part: PromptPartId): void {
    this.#recordPart(engine, part, 'held');
  }

  /**
   * Applies what an endpoint says about itself in the head of any response.
   * `sentAt` is when the caller's request was sent that the response answers;
   * undefined for a request of the router itself.
   */
  onStatement(
    entry: EndpointEntry,
    statement: EndpointStatement,
    sentAt: Instant | undefined,
  ): void {
    const { endpointDirectory, endpointLimits, holds, loads, now } =
      this.#options;
    if (statement.status === STATUS_MISDIRECTED) {
      // Another instance at the same address is speaking of itself.
      return;
    }
    if (statement.load) {
      const { running, waiting, slowdown } = statement.load;
      loads.onLoadReport(entry.id, running + waiting, now(), slowdown);
    }
    if (
      statement.isLeaving &&
      endpointDirectory.markLeaving(entry.id, entry.startedAt)
    ) {
      this.#listener?.onEndpointLeaving(entry);
    }
    if (
      statement.status === STATUS_UNAVAILABLE &&
      statement.retryAfter !== undefined
    ) {
      holds.hold(entry.id, statement.retryAfter, now());
    }
    if (sentAt !== undefined) {
      endpointLimits.onStatement(entry, statement, sentAt, now());
    }
  }

  /** Uses an endpoint no longer, as another instance answers at its address. */
  onReplaced(entry: EndpointEntry): void {
    if (this.#options.endpointDirectory.applyDeparture(entry.id)) {
      this.#listener?.onEndpointReplaced(entry);
    }
  }

  onAttemptEnded(
    endpoint: EndpointId,
    result: AttemptResult,
    firstToken: Milliseconds,
    now: Instant,
  ): void {
    const { loads, health } = this.#options;
    loads.onRequestEnded(endpoint);
    this.#listener?.onLoadChanged(endpoint, loads.ownInFlight(endpoint));
    const attempt = this.#openAttempts.get(endpoint)?.shift();
    if (!attempt) {
      return;
    }
    const observation = observationOf(result, firstToken);
    for (const change of health.onAttemptEnded(
      endpoint,
      attempt,
      observation,
      now,
    )) {
      this.#listener?.onEjectionChanged(change);
    }
  }

  /** Records that any bytes arrived from an endpoint. */
  recordActivity(endpoint: EndpointId, now: Instant): void {
    this.#lastActivity.set(endpoint, now);
  }

  lastActivityAt(endpoint: EndpointId): Instant | undefined {
    return this.#lastActivity.get(endpoint);
  }

  /** Takes the current endpoints of the directory. */
  onEndpointsChanged(entries: readonly EndpointEntry[], now: Instant): void {
    this.#options.health.onEndpointsChanged(entries, now);
  }

  /** Drops the state of an endpoint that is gone or was restarted. */
  forget(endpoint: EndpointId): void {
    this.#options.loads.removeEndpoint(endpoint);
    this.#options.locations.removeEngine(endpoint);
    this.#options.holds.remove(endpoint);
    this.#options.endpointLimits.remove(endpoint);
    this.#lastActivity.delete(endpoint);
  }

  tick(now: Instant): void {
    for (const change of this.#options.health.tick(now)) {
      this.#listener?.onEjectionChanged(change);
    }
  }

  #recordParts(
    engine: EndpointId,
    prompt: Prompt | undefined,
    state: PartState,
  ): void {
    for (const { id } of prompt ? sharedParts(prompt) : []) {
      this.#recordPart(engine, id, state);
    }
  }

  #recordPart(engine: EndpointId, part: PromptPartId, state: PartState): void {
    if (this.#options.locations.add(part, engine, state)) {
      this.#listener?.onPartChanged(part, engine, state);
    }
  }
}

/** Returns what a result shows about the health of its endpoint; undefined if nothing. */
function observationOf(
  result: AttemptResult,
  firstToken: Milliseconds,
): AttemptObservation | undefined {
  switch (result.kind) {
    case 'answered':
    case 'delivered':
      return result.status >= MIN_SERVER_ERROR_STATUS
        ? { kind: 'error' }
        : { kind: 'answered', firstToken };
    case 'unproven-end':
      return { kind: 'answered', firstToken };
    case 'not-connected':
      return { kind: 'connection-refused' };
    case 'broken':
      return { kind: 'error' };
    case 'silent':
      return { kind: 'overdue' };
    case 'declined':
    case 'expired':
    case 'stopping':
    case 'superseded':
    case 'withdrawn':
    case 'caller-left':
      return undefined;
  }
}
