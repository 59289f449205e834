/** Takes endpoints out of use on a router's own evidence and brings them back. */
import { Table } from '../table/table';
import type { AttemptId, EndpointId } from '../types/ids';
import { addTime, elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { isValid } from './evidence';
import type { Evidence, ValidityHorizon } from './evidence';

export interface EjectionOptions {
  readonly horizon: ValidityHorizon;
  /** Part of the endpoints that may be out at once, rounded down, at least one. */
  readonly maxEjected: number;
  /** Time out of use after the first ejection; doubles with each further one. */
  readonly basePeriod: Milliseconds;
  readonly maxPeriod: Milliseconds;
  /** Time in use after which one earlier ejection is forgotten. */
  readonly forgiveness: Milliseconds;
  /**
   * An attempt without an answer for this long counts against its endpoint once
   * other endpoints answered meanwhile.
   */
  readonly silence: Milliseconds;
}

export const defaultEjection: EjectionOptions = {
  horizon: { firstToken: seconds(3), tokenGap: milliseconds(150) },
  maxEjected: 0.34,
  basePeriod: seconds(10),
  maxPeriod: seconds(300),
  forgiveness: seconds(120),
  silence: seconds(5),
};

export type EndpointStanding =
  | { readonly kind: 'in-use' }
  /** At most one attempt at a time, until it has proved itself. */
  | { readonly kind: 'probation' }
  | { readonly kind: 'ejected'; readonly until: Instant };

export type StandingChange =
  | {
      readonly kind: 'ejected';
      readonly endpoint: EndpointId;
      readonly until: Instant;
    }
  | { readonly kind: 'probation'; readonly endpoint: EndpointId }
  | { readonly kind: 'restored'; readonly endpoint: EndpointId };

interface EndpointRow {
  readonly id: EndpointId;
  standing: EndpointStanding;
  since: Instant;
  ejections: number;
  readonly outstanding: Map<AttemptId, Instant>;
}

/** Attempts remembered per endpoint; further ones are not watched for silence. */
const maxOutstanding = 4096;
const inUse: EndpointStanding = { kind: 'in-use' };

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

  constructor(options: EjectionOptions = defaultEjection) {
    this.#options = options;
  }

  /** Takes the endpoints of the pool; forgets those that are gone. */
  endpointsChanged(endpoints: readonly EndpointId[], now: Instant): void {
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
          standing: inUse,
          since: now,
          ejections: 0,
          outstanding: new Map(),
        });
      }
    }
  }

  standing(endpoint: EndpointId): EndpointStanding {
    return this.#rows.get(endpoint)?.standing ?? inUse;
  }

  /** True when a new attempt may go to the endpoint. */
  accepts(endpoint: EndpointId): boolean {
    const row = this.#rows.get(endpoint);
    if (!row || row.standing.kind === 'in-use') {
      return true;
    }
    return row.standing.kind === 'probation' && row.outstanding.size === 0;
  }

  /** Notes that an attempt was sent. */
  started(endpoint: EndpointId, attempt: AttemptId, now: Instant): void {
    const row = this.#rows.get(endpoint);
    if (row && row.outstanding.size < maxOutstanding) {
      row.outstanding.set(attempt, now);
    }
  }

  /** Notes that an attempt showed signs of life, such as its first token. */
  progressed(endpoint: EndpointId, attempt: AttemptId, now: Instant): void {
    const row = this.#rows.get(endpoint);
    if (row?.outstanding.has(attempt)) {
      row.outstanding.set(attempt, now);
    }
  }

  /** Notes how an attempt ended; without evidence, such as a cancel, it says nothing. */
  ended(
    endpoint: EndpointId,
    attempt: AttemptId,
    evidence: Evidence | undefined,
    now: Instant,
  ): readonly StandingChange[] {
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
  tick(now: Instant): readonly StandingChange[] {
    const changes: StandingChange[] = [];
    for (const row of this.#rows.rows()) {
      changes.push(...this.#tickRow(row, now));
    }
    return changes;
  }

  /** Takes one more verdict on an endpoint into its health. */
  protected abstract note(
    endpoint: EndpointId,
    valid: boolean,
    evidence: Evidence,
  ): void;

  /** True when the endpoint's health calls for its ejection. */
  protected abstract unhealthy(endpoint: EndpointId): boolean;

  /** True when the endpoint on probation has proved itself. */
  protected abstract proved(endpoint: EndpointId): boolean;

  /** Sets the health with which an endpoint starts its probation. */
  protected abstract beginProbation(endpoint: EndpointId): void;

  protected abstract forget(endpoint: EndpointId): void;

  #tickRow(row: EndpointRow, now: Instant): StandingChange[] {
    const { standing } = row;
    if (standing.kind === 'ejected' && elapsed(now, standing.until) <= 0) {
      this.beginProbation(row.id);
      row.standing = { kind: 'probation' };
      row.since = now;
      return [{ kind: 'probation', endpoint: row.id }];
    }
    if (
      standing.kind === 'in-use' &&
      row.ejections > 0 &&
      elapsed(row.since, now) >= this.#options.forgiveness
    ) {
      row.ejections -= 1;
      row.since = now;
    }
    return this.#tickOutstanding(row, now);
  }

  #tickOutstanding(row: EndpointRow, now: Instant): StandingChange[] {
    const changes: StandingChange[] = [];
    for (const [attempt, at] of row.outstanding) {
      const silent = elapsed(at, now) >= this.#options.silence;
      if (silent && this.#othersAnsweredSince(row.id, at)) {
        row.outstanding.delete(attempt);
        changes.push(...this.#judge(row, { kind: 'overdue' }, now));
      }
    }
    return changes;
  }

  #judge(row: EndpointRow, evidence: Evidence, now: Instant): StandingChange[] {
    if (row.standing.kind === 'ejected') {
      return [];
    }
    const valid = isValid(evidence, this.#options.horizon);
    this.note(row.id, valid, evidence);
    if (!valid && this.unhealthy(row.id)) {
      return this.#eject(row, now);
    }
    if (row.standing.kind === 'probation' && this.proved(row.id)) {
      row.standing = inUse;
      row.since = now;
      return [{ kind: 'restored', endpoint: row.id }];
    }
    return [];
  }

  #eject(row: EndpointRow, now: Instant): StandingChange[] {
    const onProbation = row.standing.kind === 'probation';
    if (!onProbation && !this.#mayEject()) {
      return [];
    }
    const { basePeriod, maxPeriod } = this.#options;
    const period = Math.min(maxPeriod, basePeriod * 2 ** row.ejections);
    const until = addTime(now, milliseconds(period));
    row.standing = { kind: 'ejected', until };
    row.since = now;
    row.ejections = Math.min(row.ejections + 1, 30);
    return [{ kind: 'ejected', endpoint: row.id, until }];
  }

  /** Endpoints on probation count as out, as they take hardly any load. */
  #mayEject(): boolean {
    let out = 0;
    for (const row of this.#rows.rows()) {
      out += row.standing.kind === 'in-use' ? 0 : 1;
    }
    const allowed = Math.floor(this.#options.maxEjected * this.#rows.size);
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
