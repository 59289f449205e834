/** Finds out whether a broken attempt means that its endpoint crashed. */
import type { EndpointTable } from '../membership/endpoint-table';
import type { SuspectRegistry } from '../poison/suspect-registry';
import { AttemptObserver } from '../requests/steps';
import type { AttemptReport, AttemptInfo } from '../requests/steps';
import type { EventRecorder } from '../timeline/event';
import type { EndpointId, Fingerprint, Incarnation } from '../types/ids';
import type { Instant } from '../types/units';

export interface CrashWatchOptions {
  readonly registry: SuspectRegistry;
  readonly endpoints: EndpointTable;
  readonly recorder: EventRecorder;
}

/** Attempts that broke at one endpoint and wait for its probe. */
interface Doubt {
  readonly incarnation: Incarnation;
  readonly attempts: AttemptInfo[];
}

/**
 * A connection that breaks may be the network's fault or an endpoint's end. The
 * endpoint is probed; until the answer is here, nothing that broke is run again.
 */
export class CrashWatch extends AttemptObserver {
  readonly #registry: SuspectRegistry;
  readonly #endpoints: EndpointTable;
  readonly #recorder: EventRecorder;
  readonly #doubts = new Map<EndpointId, Doubt>();
  #probes: EndpointId[] = [];

  constructor(options: CrashWatchOptions) {
    super();
    this.#registry = options.registry;
    this.#endpoints = options.endpoints;
    this.#recorder = options.recorder;
  }

  /** Whether content waits for a probe. */
  inDoubt(id: Fingerprint): boolean {
    for (const { attempts } of this.#doubts.values()) {
      if (attempts.some(({ request }) => request.fingerprint === id)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the endpoints to probe since the last call. */
  takeProbes(): readonly EndpointId[] {
    const probes = this.#probes;
    this.#probes = [];
    return probes;
  }

  /** Takes the result of a probe. */
  probed(endpoint: EndpointId, alive: boolean, now: Instant): void {
    const doubt = this.#doubts.get(endpoint);
    if (!doubt) {
      return;
    }
    this.#doubts.delete(endpoint);
    const { incarnation } = doubt;
    const replaced = this.#endpoints.get(endpoint)?.incarnation !== incarnation;
    if (alive && !replaced) {
      for (const { attempt } of doubt.attempts) {
        this.#registry.ended(attempt, 'stopped', now);
      }
      return;
    }
    const marked = this.#registry.endpointCrashed(endpoint, incarnation, now);
    this.#recorder.record(
      'suspect-marked',
      { endpoint },
      { suspects: marked.length },
    );
  }

  override onAttemptStarted(facts: AttemptInfo): void {
    const { attempt, endpoint, request } = facts;
    const row = this.#endpoints.get(endpoint);
    if (row) {
      const { incarnation } = row;
      this.#registry.started(
        attempt,
        request.fingerprint,
        endpoint,
        incarnation,
      );
    }
  }

  override onAttemptProgress(): void {
    // A part of an answer does not clear its content.
  }

  override onAttemptEnded(
    facts: AttemptInfo,
    ending: AttemptReport,
    _events: number,
    now: Instant,
  ): void {
    if (ending === 'reset') {
      this.#doubt(facts);
      return;
    }
    const end = ending === 'finished' ? 'finished' : 'stopped';
    if (this.#registry.ended(facts.attempt, end, now)) {
      this.#recorder.record('suspect-cleared', { request: facts.request.id });
    }
  }

  #doubt(facts: AttemptInfo): void {
    const { endpoint } = facts;
    const doubt = this.#doubts.get(endpoint);
    if (doubt) {
      doubt.attempts.push(facts);
      return;
    }
    const row = this.#endpoints.get(endpoint);
    if (!row) {
      return;
    }
    const { incarnation } = row;
    this.#doubts.set(endpoint, { incarnation, attempts: [facts] });
    this.#probes.push(endpoint);
  }
}
