/**
 * Rules of membership that hold for routers and endpoints alike: the highest
 * incarnation wins, leaving is sticky, returns are damped, and members that the
 * list has not shown for long are gone.
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

/** Times that rule how long a silent member is kept. */
export interface MembershipTimes {
  /** Time without a line in the list and without an answer until a member is gone. */
  readonly missingTimeout: Milliseconds;
  /** Time that the row of a member that is gone is kept for the operator to see. */
  readonly goneRetention: Milliseconds;
  /** Time over which a joining member's share rises. */
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
  Facts extends object,
  Row extends Member<Id> & Facts,
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
  /** Peers' word that a process start leaves which no list has shown yet. */
  readonly #unconfirmed = new Map<Id, Set<Incarnation>>();
  readonly #listeners = new Set<(change: MemberChange<Id>) => void>();
  #listed = false;

  constructor(times: MembershipTimes, departures = new Departures<Id>()) {
    this.times = times;
    this.#departures = departures;
  }

  /** Whether the platform's list has arrived at least once. */
  get hasList(): boolean {
    return this.#listed;
  }

  get(id: Id): Row | undefined {
    return this.table.get(id);
  }

  /** Every row, also of members that are leaving or gone. */
  rows(): IterableIterator<Row> {
    return this.table.rows();
  }

  /** Calls the listener at each change of phase; returns a function that ends it. */
  subscribe(listener: (change: MemberChange<Id>) => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Recent returns of a member, each halved every five minutes. */
  flapPenalty(id: Id, now: Instant): number {
    return this.#damper.penalty(id, now);
  }

  /**
   * Marks one process start as leaving, for good. A statement about a process
   * start that no list has shown waits until one does.
   */
  markLeaving(
    id: Id,
    incarnation: Incarnation,
    cause: DepartureCause,
    now: Instant,
  ): void {
    const row = this.table.get(id);
    if (!row || incarnation > row.incarnation) {
      this.#keepUnconfirmed(id, incarnation);
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

  /** Moves members on as time passes. */
  tick(now: Instant): void {
    this.#damper.tick(now);
    for (const row of this.table.rows()) {
      this.#age(row, now);
    }
  }

  /** Takes over a whole list: what it shows and what it no longer shows. */
  protected applyList(
    sightings: readonly MemberReport<Id, Facts>[],
    now: Instant,
  ): void {
    const shown = new Set<Id>();
    for (const sighting of sightings) {
      shown.add(sighting.id);
      this.applyReport(sighting, 'list', now);
    }
    for (const row of this.table.rows()) {
      if (!shown.has(row.id) && row.missingSince === undefined) {
        this.patch(row.id, { missingSince: now });
      }
    }
    this.#listed = true;
  }

  /** Merges one statement that a process start exists. */
  protected applyReport(
    sighting: MemberReport<Id, Facts>,
    origin: ReportOrigin,
    now: Instant,
  ): void {
    const row = this.table.get(sighting.id);
    if (row && sighting.incarnation < row.incarnation) {
      this.counters.stale += 1;
      return;
    }
    if (row?.incarnation === sighting.incarnation) {
      this.#confirm(row, sighting, origin, now);
      return;
    }
    if (origin === 'peer' && this.#listed) {
      this.counters.unconfirmed += 1;
      if (sighting.isLeaving) {
        this.#keepUnconfirmed(sighting.id, sighting.incarnation);
      }
      return;
    }
    this.#admit(row, sighting, origin, now);
  }

  /** Tells subscribers of a change. */
  protected notify(change: MemberChange<Id>): void {
    for (const listener of this.#listeners) {
      listener(change);
    }
  }

  protected patch(id: Id, fields: Partial<Member<Id>>): void {
    this.table.patch(id, fields as Partial<Omit<Row, 'id'>>);
  }

  /** Builds a row from a statement. */
  protected abstract build(member: Member<Id>, facts: Facts): Row;

  /** Facts of the same process start that may change while it runs. */
  protected abstract refresh(row: Row, facts: Facts): void;

  /** Called after a change of phase, to record it. */
  protected abstract onPhaseChange(row: Row): void;

  /** The same process start again: it may only move towards its end. */
  #confirm(
    row: Row,
    sighting: MemberReport<Id, Facts>,
    origin: ReportOrigin,
    now: Instant,
  ): void {
    if (origin !== 'peer') {
      this.patch(row.id, { origin, missingSince: undefined });
      this.refresh(row, sighting.details);
    }
    if (
      row.address.host !== sighting.address.host ||
      row.address.port !== sighting.address.port
    ) {
      this.counters.contradictory += 1;
    }
    if (sighting.isLeaving) {
      const cause = origin === 'peer' ? 'told-by-peer' : 'listed-leaving';
      this.markLeaving(row.id, sighting.incarnation, cause, now);
      return;
    }
    const left = this.#departures.has(row.id, row.incarnation);
    if (left) {
      this.counters.stale += origin === 'list' ? 1 : 0;
      return;
    }
    if (row.phase === 'gone' && origin !== 'peer') {
      this.#returnToWork(row, now);
    }
  }

  /** A process start that had no row yet. */
  #admit(
    previous: Row | undefined,
    sighting: MemberReport<Id, Facts>,
    origin: ReportOrigin,
    now: Instant,
  ): void {
    const { id, incarnation } = sighting;
    const atStart = !this.#listed && !previous;
    const hold = previous ? this.#damper.recordReturn(id, now) : 0;
    const told = this.#confirmDeparture(id, incarnation);
    const leaves =
      sighting.isLeaving || told || this.#departures.has(id, incarnation);
    const row = this.build(
      {
        id,
        vm: sighting.vm,
        incarnation,
        zone: sighting.zone,
        address: sighting.address,
        phase: atStart ? 'live' : 'joining',
        origin,
        rampStart: addTime(now, hold as Milliseconds),
        missingSince: undefined,
        lastResponseAt: undefined,
        cause: undefined,
        since: now,
      },
      sighting.details,
    );
    this.table.put(row);
    if (leaves) {
      this.#departures.add(id, incarnation);
      const cause = origin === 'peer' ? 'told-by-peer' : 'listed-leaving';
      this.#setPhase(row, 'leaving', cause, now);
      return;
    }
    this.#announce(row);
  }

  #returnToWork(row: Row, now: Instant): void {
    const hold = this.#damper.recordReturn(row.id, now);
    this.patch(row.id, { rampStart: addTime(now, hold) });
    this.#setPhase(row, 'joining', undefined, now);
  }

  #age(row: Row, now: Instant): void {
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
    const lastSign =
      row.lastResponseAt !== undefined && row.lastResponseAt > row.missingSince
        ? row.lastResponseAt
        : row.missingSince;
    return elapsed(lastSign, now) >= this.times.missingTimeout;
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
      this.#announce(changed);
    }
  }

  #announce(row: Row): void {
    this.onPhaseChange(row);
    const { id, incarnation, phase, cause } = row;
    this.notify({ id, incarnation, phase, cause });
  }

  #keepUnconfirmed(id: Id, incarnation: Incarnation): void {
    this.counters.unconfirmed += 1;
    const known = this.#unconfirmed.get(id) ?? new Set<Incarnation>();
    const full =
      known.size >= MAX_UNCONFIRMED_PER_MEMBER ||
      this.#unconfirmed.size >= MAX_UNCONFIRMED;
    if (!full) {
      known.add(incarnation);
      this.#unconfirmed.set(id, known);
    }
  }

  /** Tells whether a peer's word was waiting for this process start, and drops older ones. */
  #confirmDeparture(id: Id, incarnation: Incarnation): boolean {
    const known = this.#unconfirmed.get(id);
    if (!known) {
      return false;
    }
    const waited = known.has(incarnation);
    for (const told of known) {
      if (told <= incarnation) {
        known.delete(told);
      }
    }
    if (known.size === 0) {
      this.#unconfirmed.delete(id);
    }
    return waited;
  }
}
