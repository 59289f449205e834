/** Determines by a probe whether an attempt that was broken off means that its endpoint crashed. */
import type { EndpointTable } from '../membership/endpoint-table';
import type { SuspectRegistry } from '../poison/suspect-registry';
import { AttemptObserver } from '../requests/steps';
import type { AttemptReport, AttemptInfo } from '../requests/steps';
import type { EventRecorder } from '../timeline/event';
import type { EndpointId, Fingerprint, Incarnation } from '../types/ids';
import type { Instant } from '../types/units';

export interface CrashObserverOptions {
  readonly registry: SuspectRegistry;
  readonly endpoints: EndpointTable;
  readonly recorder: EventRecorder;
}

/** Attempts that were broken off at one endpoint and wait for the result of its probe. */
interface PendingProbe {
  readonly incarnation: Incarnation;
  readonly attempts: AttemptInfo[];
}

/**
 * A lost connection may be a network fault or a crash of the endpoint. The
 * endpoint is probed, and until the result is known no content of a broken-off
 * attempt is run again.
 */
export class CrashObserver extends AttemptObserver {
  readonly #registry: SuspectRegistry;
  readonly #endpoints: EndpointTable;
  readonly #recorder: EventRecorder;
  readonly #pendingProbes = new Map<EndpointId, PendingProbe>();
  #newProbes: EndpointId[] = [];

  constructor(options: CrashObserverOptions) {
    super();
    this.#registry = options.registry;
    this.#endpoints = options.endpoints;
    this.#recorder = options.recorder;
  }

  /** Returns whether the content waits for the result of a probe. */
  isProbePending(id: Fingerprint): boolean {
    for (const { attempts } of this.#pendingProbes.values()) {
      if (attempts.some(({ request }) => request.fingerprint === id)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the endpoints to probe that were added since the last call. */
  takeProbes(): readonly EndpointId[] {
    const probes = this.#newProbes;
    this.#newProbes = [];
    return probes;
  }

  /** Applies the result of a probe. */
  onProbeResult(endpoint: EndpointId, alive: boolean, now: Instant): void {
    const pending = this.#pendingProbes.get(endpoint);
    if (!pending) {
      return;
    }
    this.#pendingProbes.delete(endpoint);
    const { incarnation } = pending;
    const isReplaced =
      this.#endpoints.get(endpoint)?.incarnation !== incarnation;
    if (alive && !isReplaced) {
      for (const { attempt } of pending.attempts) {
        this.#registry.onAttemptEnded(attempt, 'stopped', now);
      }
      return;
    }
    const marked = this.#registry.onEndpointCrash(endpoint, incarnation, now);
    this.#recorder.record(
      'suspect-marked',
      { endpoint },
      { suspects: marked.length },
    );
  }

  override onAttemptStarted(info: AttemptInfo): void {
    const { attempt, endpoint, request } = info;
    const row = this.#endpoints.get(endpoint);
    if (row) {
      const { incarnation } = row;
      this.#registry.onAttemptStarted(
        attempt,
        request.fingerprint,
        endpoint,
        incarnation,
      );
    }
  }

  override onAttemptProgress(): void {
    // A part of a response does not clear its content.
  }

  override onAttemptEnded(
    info: AttemptInfo,
    report: AttemptReport,
    _events: number,
    now: Instant,
  ): void {
    if (report === 'reset') {
      this.#addPendingProbe(info);
      return;
    }
    const result = report === 'finished' ? 'finished' : 'stopped';
    if (this.#registry.onAttemptEnded(info.attempt, result, now)) {
      this.#recorder.record('suspect-cleared', { request: info.request.id });
    }
  }

  #addPendingProbe(info: AttemptInfo): void {
    const { endpoint } = info;
    const pending = this.#pendingProbes.get(endpoint);
    if (pending) {
      pending.attempts.push(info);
      return;
    }
    const row = this.#endpoints.get(endpoint);
    if (!row) {
      return;
    }
    const { incarnation } = row;
    this.#pendingProbes.set(endpoint, { incarnation, attempts: [info] });
    this.#newProbes.push(endpoint);
  }
}
