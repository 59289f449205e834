/**
 * Membership rules for routers and endpoints: the highest incarnation wins,
 * leaving is sticky, returns are damped, and members that the list has not
 * shown for long are gone.
 */
import { Table } from '../table/table';
import type { Incarnation } from '../types/ids';
import { addTime, elapsed, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { Departures } from './departures';
import { FlapDamper } from './flap-damper';
import type {
  DepartureCause,
  Member,
  MemberChange,
  MembershipCounters,
  ReportOrigin,
  MemberReport,
} from './member';

/** Timeouts of the membership rules. */
export interface MembershipTimes {
  /**
   * Time without an entry in the list and without a response after which a
   * member is gone.
   */
  readonly missingTimeout: Milliseconds;
  /** Time for which the row of a gone member is retained for operators. */
  readonly goneRetention: Milliseconds;
  /** Time over which a joining member's share rises to its full value. */
  readonly rampDuration: Milliseconds;
}

export const DEFAULT_MEMBERSHIP_TIMES: MembershipTimes = {
  missingTimeout: seconds(30),
  goneRetention: seconds(600),
  rampDuration: seconds(30),
};

const MAX_UNCONFIRMED = 4096;
const MAX_UNCONFIRMED_PER_MEMBER = 4;

export abstract class MemberTable<
  Id extends string,
  Details extends object,
  Row extends Member<Id> & Details,
> {
  readonly counters: MembershipCounters = {
    malformed: 0,
    contradictory: 0,
    stale: 0,
    unconfirmed: 0,
  };

  protected readonly table = new Table<Id, Row>();
  protected readonly times: MembershipTimes;

  readonly #damper = new FlapDamper<Id>();
  readonly #departures: Departures<Id>;
  /**
   * Departures reported by peers for process starts that no list has shown yet.
   */
  readonly #unconfirmedDepartures = new Map<Id, Set<Incarnation>>();
  readonly #listeners = new Set<(change: MemberChange<Id>) => void>();
  #hasList = false;

  constructor(times: MembershipTimes, departures = new Departures<Id>()) {
    this.times = times;
    this.#departures = departures;
  }

  /** Whether the platform's list has been received at least once. */
  get hasList(): boolean {
    return this.#hasList;
  }

  get(id: Id): Row | undefined {
    return this.table.get(id);
  }

  /** Returns every row, including members that are leaving or gone. */
  rows(): IterableIterator<Row> {
    return this.table.rows();
  }

  /**
   * Calls the listener at each change of phase; returns a function that removes
   * it.
   */
  subscribe(listener: (change: MemberChange<Id>) => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /**
   * Returns the number of recent returns of a member, each halved every five
   * minutes.
   */
  flapPenalty(id: Id, now: Instant): number {
    return this.#damper.penalty(id, now);
  }

  /**
   * Marks one process start as leaving, permanently. A report about a process
   * start that no list has shown takes effect once a list shows it.
   */
  markLeaving(
    id: Id,
    incarnation: Incarnation,
    cause: DepartureCause,
    now: Instant,
  ): void {
    const row = this.table.get(id);
    if (!row || incarnation > row.incarnation) {
      this.#addUnconfirmedDeparture(id, incarnation);
      return;
    }
    if (incarnation < row.incarnation) {
      this.counters.stale += 1;
      return;
    }
    this.#departures.add(id, incarnation);
    if (row.phase === 'joining' || row.phase === 'live') {
      this.#setPhase(row, 'leaving', cause, now);
    }
  }

  /** Applies the timeouts to all members. */
  tick(now: Instant): void {
    this.#damper.tick(now);
    for (const row of this.table.rows()) {
      this.#updatePhase(row, now);
    }
  }

  /**
   * Applies a complete list: adds or updates the members it contains and marks
   * the others as missing.
   */
  protected applyList(
    reports: readonly MemberReport<Id, Details>[],
    now: Instant,
  ): void {
    const listedIds = new Set<Id>();
    for (const report of reports) {
      listedIds.add(report.id);
      this.applyReport(report, 'list', now);
    }
    for (const row of this.table.rows()) {
      if (!listedIds.has(row.id) && row.missingSince === undefined) {
        this.patch(row.id, { missingSince: now });
      }
    }
    this.#hasList = true;
  }

  /** Merges one report of a process start. */
  protected applyReport(
    report: MemberReport<Id, Details>,
    origin: ReportOrigin,
    now: Instant,
  ): void {
    const row = this.table.get(report.id);
    if (row && report.incarnation < row.incarnation) {
      this.counters.stale += 1;
      return;
    }
    if (row?.incarnation === report.incarnation) {
      this.#applyReportOfKnown(row, report, origin, now);
      return;
    }
    if (origin === 'peer' && this.#hasList) {
      this.counters.unconfirmed += 1;
      if (report.isLeaving) {
        this.#addUnconfirmedDeparture(report.id, report.incarnation);
      }
      return;
    }
    this.#addProcessStart(row, report, origin, now);
  }

  /** Notifies the subscribers of a change. */
  protected notify(change: MemberChange<Id>): void {
    for (const listener of this.#listeners) {
      listener(change);
    }
  }

  protected patch(id: Id, fields: Partial<Member<Id>>): void {
    this.table.patch(id, fields as Partial<Omit<Row, 'id'>>);
  }

  /** Builds a row from a report. */
  protected abstract build(member: Member<Id>, details: Details): Row;

  /** Updates the details of a process start that may change while it runs. */
  protected abstract refresh(row: Row, details: Details): void;

  /** Called after a change of phase, to record it. */
  protected abstract onPhaseChange(row: Row): void;

  /**
   * Merges a report of the row's own process start, which may only move towards
   * its end.
   */
  #applyReportOfKnown(
    row: Row,
    report: MemberReport<Id, Details>,
    origin: ReportOrigin,
    now: Instant,
  ): void {
    if (origin !== 'peer') {
      this.patch(row.id, { origin, missingSince: undefined });
      this.refresh(row, report.details);
    }
    if (
      row.address.host !== report.address.host ||
      row.address.port !== report.address.port
    ) {
      this.counters.contradictory += 1;
    }
    if (report.isLeaving) {
      const cause = origin === 'peer' ? 'told-by-peer' : 'listed-leaving';
      this.markLeaving(row.id, report.incarnation, cause, now);
      return;
    }
    const hasLeft = this.#departures.has(row.id, row.incarnation);
    if (hasLeft) {
      this.counters.stale += origin === 'list' ? 1 : 0;
      return;
    }
    if (row.phase === 'gone' && origin !== 'peer') {
      this.#rejoin(row, now);
    }
  }

  /** Adds the row of a new process start. */
  #addProcessStart(
    previous: Row | undefined,
    report: MemberReport<Id, Details>,
    origin: ReportOrigin,
    now: Instant,
  ): void {
    const { id, incarnation } = report;
    const isInitial = !this.#hasList && !previous;
    const hold = previous ? this.#damper.recordReturn(id, now) : 0;
    const isReportedLeaving = this.#takeUnconfirmedDeparture(id, incarnation);
    const isLeaving =
      report.isLeaving ||
      isReportedLeaving ||
      this.#departures.has(id, incarnation);
    const row = this.build(
      {
        id,
        vm: report.vm,
        incarnation,
        zone: report.zone,
        address: report.address,
        phase: isInitial ? 'live' : 'joining',
        origin,
        rampStart: addTime(now, hold as Milliseconds),
        missingSince: undefined,
        lastResponseAt: undefined,
        cause: undefined,
        since: now,
      },
      report.details,
    );
    this.table.put(row);
    if (isLeaving) {
      this.#departures.add(id, incarnation);
      const cause = origin === 'peer' ? 'told-by-peer' : 'listed-leaving';
      this.#setPhase(row, 'leaving', cause, now);
      return;
    }
    this.#notifyPhaseChange(row);
  }

  #rejoin(row: Row, now: Instant): void {
    const hold = this.#damper.recordReturn(row.id, now);
    this.patch(row.id, { rampStart: addTime(now, hold) });
    this.#setPhase(row, 'joining', undefined, now);
  }

  #updatePhase(row: Row, now: Instant): void {
    if (row.phase === 'joining') {
      if (now >= addTime(row.rampStart, this.times.rampDuration)) {
        this.patch(row.id, { phase: 'live', since: now });
      }
    }
    if (row.phase === 'gone') {
      if (elapsed(row.since, now) >= this.times.goneRetention) {
        this.table.delete(row.id);
      }
      return;
    }
    if (this.#isMissing(row, now)) {
      this.#setPhase(row, 'gone', 'missing', now);
    }
  }

  #isMissing(row: Row, now: Instant): boolean {
    if (row.missingSince === undefined) {
      return false;
    }
    const lastSeenAt =
      row.lastResponseAt !== undefined && row.lastResponseAt > row.missingSince
        ? row.lastResponseAt
        : row.missingSince;
    return elapsed(lastSeenAt, now) >= this.times.missingTimeout;
  }

  #setPhase(
    row: Row,
    phase: Row['phase'],
    cause: DepartureCause | undefined,
    now: Instant,
  ): void {
    this.patch(row.id, { phase, cause, since: now });
    const changed = this.table.get(row.id);
    if (changed) {
      this.#notifyPhaseChange(changed);
    }
  }

  #notifyPhaseChange(row: Row): void {
    this.onPhaseChange(row);
    const { id, incarnation, phase, cause } = row;
    this.notify({ id, incarnation, phase, cause });
  }

  #addUnconfirmedDeparture(id: Id, incarnation: Incarnation): void {
    this.counters.unconfirmed += 1;
    const incarnations =
      this.#unconfirmedDepartures.get(id) ?? new Set<Incarnation>();
    const isFull =
      incarnations.size >= MAX_UNCONFIRMED_PER_MEMBER ||
      this.#unconfirmedDepartures.size >= MAX_UNCONFIRMED;
    if (!isFull) {
      incarnations.add(incarnation);
      this.#unconfirmedDepartures.set(id, incarnations);
    }
  }

  /**
   * Returns whether a peer reported that this process start leaves; drops the
   * reports about it and about earlier ones.
   */
  #takeUnconfirmedDeparture(id: Id, incarnation: Incarnation): boolean {
    const incarnations = this.#unconfirmedDepartures.get(id);
    if (!incarnations) {
      return false;
    }
    const wasReported = incarnations.has(incarnation);
    for (const reported of incarnations) {
      if (reported <= incarnation) {
        incarnations.delete(reported);
      }
    }
    if (incarnations.size === 0) {
      this.#unconfirmedDepartures.delete(id);
    }
    return wasReported;
  }
}
