/** Takes endpoints out of use on a router's own evidence and brings them back. */
import { Table } from '../table/table';
import type { AttemptId, EndpointId } from '../types/ids';
import { addTime, elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { isSuccess } from './attempt-observation';
import type { AttemptObservation, LatencyLimits } from './attempt-observation';

export interface EjectionOptions {
  readonly latencyLimits: LatencyLimits;
  /** Part of the endpoints that may be out at once, rounded down, at least one. */
  readonly maxEjectedFraction: number;
  /** Time out of use after the first ejection; doubles with each further one. */
  readonly baseEjectionTime: Milliseconds;
  readonly maxEjectionTime: Milliseconds;
  /** Time in use after which one earlier ejection is forgotten. */
  readonly ejectionDecay: Milliseconds;
  /**
   * An attempt without an answer for this long counts against its endpoint once
   * other endpoints answered meanwhile.
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
  /** At most one attempt at a time, until it has proved itself. */
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
  since: Instant;
  ejections: number;
  readonly outstanding: Map<AttemptId, Instant>;
}

/** Attempts remembered per endpoint; further ones are not watched for silence. */
const maxOutstanding = 4096;
const inUse: EjectionState = { kind: 'in-use' };

/**
 * The measure of an endpoint's health is left to subclasses. Probation and
 * growing periods make a flapping endpoint cost more each time.
 */
export abstract class OutlierDetector {
  readonly #options: EjectionOptions;
  readonly #rows = new Table<EndpointId, EndpointRow>();
  /** The last two answers by different endpoints. */
  #lastAnswer: { readonly endpoint: EndpointId; at: Instant } | undefined;
  #otherAnswer: { readonly endpoint: EndpointId; at: Instant } | undefined;

  constructor(options: EjectionOptions = DEFAULT_EJECTION) {
    this.#options = options;
  }

  /** Takes the endpoints of the pool; forgets those that are gone. */
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
          state: inUse,
          since: now,
          ejections: 0,
          outstanding: new Map(),
        });
      }
    }
  }

  ejectionState(endpoint: EndpointId): EjectionState {
    return this.#rows.get(endpoint)?.state ?? inUse;
  }

  /** True when a new attempt may go to the endpoint. */
  accepts(endpoint: EndpointId): boolean {
    const row = this.#rows.get(endpoint);
    if (!row || row.state.kind === 'in-use') {
      return true;
    }
    return row.state.kind === 'probation' && row.outstanding.size === 0;
  }

  /** Notes that an attempt was sent. */
  onAttemptStarted(
    endpoint: EndpointId,
    attempt: AttemptId,
    now: Instant,
  ): void {
    const row = this.#rows.get(endpoint);
    if (row && row.outstanding.size < maxOutstanding) {
      row.outstanding.set(attempt, now);
    }
  }

  /** Notes that an attempt showed signs of life, such as its first token. */
  onAttemptProgress(
    endpoint: EndpointId,
    attempt: AttemptId,
    now: Instant,
  ): void {
    const row = this.#rows.get(endpoint);
    if (row?.outstanding.has(attempt)) {
      row.outstanding.set(attempt, now);
    }
  }

  /** Notes how an attempt ended; without evidence, such as a cancel, it says nothing. */
  onAttemptEnded(
    endpoint: EndpointId,
    attempt: AttemptId,
    evidence: AttemptObservation | undefined,
    now: Instant,
  ): readonly EjectionChange[] {
    const row = this.#rows.get(endpoint);
    if (!row) {
      return [];
    }
    const watched = row.outstanding.delete(attempt);
    if (evidence?.kind === 'answered') {
      this.#answered(endpoint, now);
    }
    // An overdue attempt was judged already.
    const judged = !watched && evidence?.kind !== 'connection-refused';
    return evidence && !judged ? this.#judge(row, evidence, now) : [];
  }

  /** Ends ejections, forgives old ones and counts overdue attempts. */
  tick(now: Instant): readonly EjectionChange[] {
    const changes: EjectionChange[] = [];
    for (const row of this.#rows.rows()) {
      changes.push(...this.#tickRow(row, now));
    }
    return changes;
  }

  /** Takes one more verdict on an endpoint into its health. */
  protected abstract record(
    endpoint: EndpointId,
    valid: boolean,
    evidence: AttemptObservation,
  ): void;

  /** True when the endpoint's health calls for its ejection. */
  protected abstract isUnhealthy(endpoint: EndpointId): boolean;

  /** True when the endpoint on probation has proved itself. */
  protected abstract hasRecovered(endpoint: EndpointId): boolean;

  /** Sets the health with which an endpoint starts its probation. */
  protected abstract beginProbation(endpoint: EndpointId): void;

  protected abstract forget(endpoint: EndpointId): void;

  #tickRow(row: EndpointRow, now: Instant): EjectionChange[] {
    const { state: standing } = row;
    if (standing.kind === 'ejected' && elapsed(now, standing.until) <= 0) {
      this.beginProbation(row.id);
      row.state = { kind: 'probation' };
      row.since = now;
      return [{ kind: 'probation', endpoint: row.id }];
    }
    if (
      standing.kind === 'in-use' &&
      row.ejections > 0 &&
      elapsed(row.since, now) >= this.#options.ejectionDecay
    ) {
      row.ejections -= 1;
      row.since = now;
    }
    return this.#tickOutstanding(row, now);
  }

  #tickOutstanding(row: EndpointRow, now: Instant): EjectionChange[] {
    const changes: EjectionChange[] = [];
    for (const [attempt, at] of row.outstanding) {
      const silent = elapsed(at, now) >= this.#options.silence;
      if (silent && this.#othersAnsweredSince(row.id, at)) {
        row.outstanding.delete(attempt);
        changes.push(...this.#judge(row, { kind: 'overdue' }, now));
      }
    }
    return changes;
  }

  #judge(
    row: EndpointRow,
    evidence: AttemptObservation,
    now: Instant,
  ): EjectionChange[] {
    if (row.state.kind === 'ejected') {
      return [];
    }
    const valid = isSuccess(evidence, this.#options.latencyLimits);
    this.record(row.id, valid, evidence);
    if (!valid && this.isUnhealthy(row.id)) {
      return this.#eject(row, now);
    }
    if (row.state.kind === 'probation' && this.hasRecovered(row.id)) {
      row.state = inUse;
      row.since = now;
      return [{ kind: 'restored', endpoint: row.id }];
    }
    return [];
  }

  #eject(row: EndpointRow, now: Instant): EjectionChange[] {
    const onProbation = row.state.kind === 'probation';
    if (!onProbation && !this.#mayEject()) {
      return [];
    }
    const { baseEjectionTime: basePeriod, maxEjectionTime: maxPeriod } =
      this.#options;
    const period = Math.min(maxPeriod, basePeriod * 2 ** row.ejections);
    const until = addTime(now, milliseconds(period));
    row.state = { kind: 'ejected', until };
    row.since = now;
    row.ejections = Math.min(row.ejections + 1, 30);
    return [{ kind: 'ejected', endpoint: row.id, until }];
  }

  /** Endpoints on probation count as out, as they take hardly any load. */
  #mayEject(): boolean {
    let out = 0;
    for (const row of this.#rows.rows()) {
      out += row.state.kind === 'in-use' ? 0 : 1;
    }
    const allowed = Math.floor(
      this.#options.maxEjectedFraction * this.#rows.size,
    );
    return this.#rows.size > 1 && out < Math.max(1, allowed);
  }

  #answered(endpoint: EndpointId, now: Instant): void {
    if (this.#lastAnswer && this.#lastAnswer.endpoint !== endpoint) {
      this.#otherAnswer = this.#lastAnswer;
    }
    this.#lastAnswer = { endpoint, at: now };
  }

  #othersAnsweredSince(endpoint: EndpointId, since: Instant): boolean {
    const answer =
      this.#lastAnswer?.endpoint === endpoint
        ? this.#otherAnswer
        : this.#lastAnswer;
    return answer !== undefined && elapsed(since, answer.at) > 0;
  }
}
