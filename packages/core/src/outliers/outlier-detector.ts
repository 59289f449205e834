/**
 * Ejects unhealthy endpoints on a router's own observations and restores them
 * after a probation.
 */
import { Table } from '../table/table';
import type { AttemptId, EndpointId } from '../types/ids';
import { addTime, elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { isSuccess } from './attempt-observation';
import type { AttemptObservation, LatencyLimits } from './attempt-observation';

export interface EjectionOptions {
  readonly latencyLimits: LatencyLimits;
  /**
   * Fraction of the endpoints that may be ejected or on probation at once,
   * rounded down but at least one endpoint.
   */
  readonly maxEjectedFraction: number;
  /** Duration of the first ejection; it doubles with each further one. */
  readonly baseEjectionTime: Milliseconds;
  readonly maxEjectionTime: Milliseconds;
  /** Time in use after which the ejection count falls by one. */
  readonly ejectionDecay: Milliseconds;
  /**
   * An attempt without progress for this long counts against its endpoint once
   * other endpoints have responded in the meantime.
   */
  readonly silence: Milliseconds;
}

export const DEFAULT_EJECTION: EjectionOptions = {
  latencyLimits: { firstToken: seconds(3), tokenGap: milliseconds(150) },
  maxEjectedFraction: 0.34,
  baseEjectionTime: seconds(10),
  maxEjectionTime: seconds(300),
  ejectionDecay: seconds(120),
  silence: seconds(5),
};

export type EjectionState =
  | { readonly kind: 'in-use' }
  /** Takes at most one attempt at a time until the endpoint has recovered. */
  | { readonly kind: 'probation' }
  | { readonly kind: 'ejected'; readonly until: Instant };

export type EjectionChange =
  | {
      readonly kind: 'ejected';
      readonly endpoint: EndpointId;
      readonly until: Instant;
    }
  | { readonly kind: 'probation'; readonly endpoint: EndpointId }
  | { readonly kind: 'restored'; readonly endpoint: EndpointId };

interface EndpointRow {
  readonly id: EndpointId;
  state: EjectionState;
  stateSince: Instant;
  ejections: number;
  readonly trackedAttempts: Map<AttemptId, Instant>;
}

/**
 * Attempts tracked per endpoint; further ones are not checked for being
 * overdue.
 */
const MAX_TRACKED_ATTEMPTS = 4096;
const IN_USE: EjectionState = { kind: 'in-use' };

/**
 * Base class of the outlier detectors; subclasses define how an endpoint's
 * health is measured. Probation and growing ejection times make each ejection
 * of a flapping endpoint cost more than the one before.
 */
export abstract class OutlierDetector {
  readonly #options: EjectionOptions;
  readonly #rows = new Table<EndpointId, EndpointRow>();
  /** The latest response, and the latest one from a different endpoint. */
  #latestResponse: { readonly endpoint: EndpointId; at: Instant } | undefined;
  #previousResponse: { readonly endpoint: EndpointId; at: Instant } | undefined;

  constructor(options: EjectionOptions = DEFAULT_EJECTION) {
    this.#options = options;
  }

  /**
   * Replaces the set of endpoints; the state of removed endpoints is dropped.
   */
  onEndpointsChanged(endpoints: readonly EndpointId[], now: Instant): void {
    const present = new Set(endpoints);
    for (const id of this.#rows.ids()) {
      if (!present.has(id)) {
        this.#rows.delete(id);
        this.forget(id);
      }
    }
    for (const id of present) {
      if (!this.#rows.has(id)) {
        this.#rows.put({
          id,
          state: IN_USE,
          stateSince: now,
          ejections: 0,
          trackedAttempts: new Map(),
        });
      }
    }
  }

  ejectionState(endpoint: EndpointId): EjectionState {
    return this.#rows.get(endpoint)?.state ?? IN_USE;
  }

  /** True when a new attempt may be sent to the endpoint. */
  accepts(endpoint: EndpointId): boolean {
    const row = this.#rows.get(endpoint);
    if (!row || row.state.kind === 'in-use') {
      return true;
    }
    return row.state.kind === 'probation' && row.trackedAttempts.size === 0;
  }

  /** Records that an attempt was sent. */
  onAttemptStarted(
    endpoint: EndpointId,
    attempt: AttemptId,
    now: Instant,
  ): void {
    const row = this.#rows.get(endpoint);
    if (row && row.trackedAttempts.size < MAX_TRACKED_ATTEMPTS) {
      row.trackedAttempts.set(attempt, now);
    }
  }

  /** Records progress of an attempt, such as its first token. */
  onAttemptProgress(
    endpoint: EndpointId,
    attempt: AttemptId,
    now: Instant,
  ): void {
    const row = this.#rows.get(endpoint);
    if (row?.trackedAttempts.has(attempt)) {
      row.trackedAttempts.set(attempt, now);
    }
  }

  /**
   * Records the end of an attempt. Without an observation, as after a
   * cancellation, the end does not change the endpoint's health. Returns the
   * resulting changes of the ejection state.
   */
  onAttemptEnded(
    endpoint: EndpointId,
    attempt: AttemptId,
    observation: AttemptObservation | undefined,
    now: Instant,
  ): readonly EjectionChange[] {
    const row = this.#rows.get(endpoint);
    if (!row) {
      return [];
    }
    const isTracked = row.trackedAttempts.delete(attempt);
    if (observation?.kind === 'answered') {
      this.#recordResponse(endpoint, now);
    }
    // An overdue attempt was evaluated when it became overdue.
    const isAlreadyEvaluated =
      !isTracked && observation?.kind !== 'connection-refused';
    return observation && !isAlreadyEvaluated
      ? this.#evaluate(row, observation, now)
      : [];
  }

  /**
   * Ends ejections whose time is over, decays ejection counts and evaluates
   * overdue attempts. Returns the resulting changes of ejection states.
   */
  tick(now: Instant): readonly EjectionChange[] {
    const changes: EjectionChange[] = [];
    for (const row of this.#rows.rows()) {
      changes.push(...this.#tickRow(row, now));
    }
    return changes;
  }

  /** Updates the endpoint's health with one observation. */
  protected abstract record(
    endpoint: EndpointId,
    success: boolean,
    observation: AttemptObservation,
  ): void;

  /** True when the endpoint's health requires its ejection. */
  protected abstract isUnhealthy(endpoint: EndpointId): boolean;

  /** True when the endpoint on probation has recovered. */
  protected abstract hasRecovered(endpoint: EndpointId): boolean;

  /** Sets the endpoint's health at the start of a probation. */
  protected abstract beginProbation(endpoint: EndpointId): void;

  protected abstract forget(endpoint: EndpointId): void;

  #tickRow(row: EndpointRow, now: Instant): EjectionChange[] {
    const { state } = row;
    if (state.kind === 'ejected' && elapsed(now, state.until) <= 0) {
      this.beginProbation(row.id);
      row.state = { kind: 'probation' };
      row.stateSince = now;
      return [{ kind: 'probation', endpoint: row.id }];
    }
    if (
      state.kind === 'in-use' &&
      row.ejections > 0 &&
      elapsed(row.stateSince, now) >= this.#options.ejectionDecay
    ) {
      row.ejections -= 1;
      row.stateSince = now;
    }
    return this.#evaluateOverdueAttempts(row, now);
  }

  #evaluateOverdueAttempts(row: EndpointRow, now: Instant): EjectionChange[] {
    const changes: EjectionChange[] = [];
    for (const [attempt, lastProgressAt] of row.trackedAttempts) {
      const isOverdue = elapsed(lastProgressAt, now) >= this.#options.silence;
      if (isOverdue && this.#haveOthersRespondedSince(row.id, lastProgressAt)) {
        row.trackedAttempts.delete(attempt);
        changes.push(...this.#evaluate(row, { kind: 'overdue' }, now));
      }
    }
    return changes;
  }

  #evaluate(
    row: EndpointRow,
    observation: AttemptObservation,
    now: Instant,
  ): EjectionChange[] {
    if (row.state.kind === 'ejected') {
      return [];
    }
    const success = isSuccess(observation, this.#options.latencyLimits);
    this.record(row.id, success, observation);
    if (!success && this.isUnhealthy(row.id)) {
      return this.#eject(row, now);
    }
    if (row.state.kind === 'probation' && this.hasRecovered(row.id)) {
      row.state = IN_USE;
      row.stateSince = now;
      return [{ kind: 'restored', endpoint: row.id }];
    }
    return [];
  }

  #eject(row: EndpointRow, now: Instant): EjectionChange[] {
    const onProbation = row.state.kind === 'probation';
    if (!onProbation && !this.#canEject()) {
      return [];
    }
    const { baseEjectionTime, maxEjectionTime } = this.#options;
    const period = Math.min(
      maxEjectionTime,
      baseEjectionTime * 2 ** row.ejections,
    );
    const until = addTime(now, milliseconds(period));
    row.state = { kind: 'ejected', until };
    row.stateSince = now;
    row.ejections = Math.min(row.ejections + 1, 30);
    return [{ kind: 'ejected', endpoint: row.id, until }];
  }

  /**
   * Endpoints on probation count as ejected here, as they take hardly any load.
   */
  #canEject(): boolean {
    let ejectedCount = 0;
    for (const row of this.#rows.rows()) {
      ejectedCount += row.state.kind === 'in-use' ? 0 : 1;
    }
    const maxCount = Math.floor(
      this.#options.maxEjectedFraction * this.#rows.size,
    );
    return this.#rows.size > 1 && ejectedCount < Math.max(1, maxCount);
  }

  #recordResponse(endpoint: EndpointId, now: Instant): void {
    if (this.#latestResponse && this.#latestResponse.endpoint !== endpoint) {
      this.#previousResponse = this.#latestResponse;
    }
    this.#latestResponse = { endpoint, at: now };
  }

  #haveOthersRespondedSince(endpoint: EndpointId, since: Instant): boolean {
    const response =
      this.#latestResponse?.endpoint === endpoint
        ? this.#previousResponse
        : this.#latestResponse;
    return response !== undefined && elapsed(since, response.at) > 0;
  }
}
