/**
 * Decides whether content that may crash endpoints is run, in a fleet whose routers
 * exchange updates through relays. Content that was running when an endpoint crashed
 * is a suspect at every router and still runs; a second crash condemns it. A complete
 * response clears it, and a run that sends more events than those that crashes ended clears it
 * of these. Condemned content is refused until a trial is due.
 */
import { z } from 'zod';

import { forEachValidEntry } from '../peers/entry-lists';
import { fingerprint } from '../types/ids';
import type { Fingerprint, RouterId } from '../types/ids';
import { elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { CrashReaches } from './crash-reaches';
import type { CrashReach } from './crash-reaches';
import { ScheduledTrials } from './scheduled-trials';
import { crashId, suspicion } from './suspect';
import type { CrashId, Suspect, SuspicionKind } from './suspect';
import {
  MAX_CRASHES_PER_SUSPECT,
  SEVERITY,
  SuspectTable,
} from './suspect-table';

export type ContentDecision =
  | { readonly kind: 'run' }
  /** Run it once; call `onTrialSent` when it is sent. */
  | { readonly kind: 'trial' }
  /** `retryAfter` is the time until the next trial. */
  | { readonly kind: 'refuse'; readonly retryAfter: Milliseconds };

/** A change that this router observed itself. */
export type SuspectChange =
  | {
      readonly kind: 'row';
      readonly id: Fingerprint;
      readonly wasCondemned: boolean;
    }
  | { readonly kind: 'trial'; readonly id: Fingerprint };

/** A changed row as peers receive it: content, crashes, cleared crashes, age in milliseconds. */
export type SuspectEntry = readonly [
  string,
  readonly string[],
  readonly string[],
  number,
];

const crashListSchema = z
  .array(z.string().min(1).max(192))
  .max(MAX_CRASHES_PER_SUSPECT);
const entrySchema = z.tuple([
  z.string().min(1).max(128),
  crashListSchema.min(1),
  crashListSchema,
  z.number().min(0),
]);

/** A trial as peers receive it: content and milliseconds since it was sent. */
export type TrialEntry = readonly [string, number];

/** Content, crash, and the number of events before it. */
const reachSchema = z.tuple([
  z.string().min(1).max(128),
  z.string().min(1).max(192),
  z.int().min(0),
]);

const trialSchema = z.tuple([z.string().min(1).max(128), z.number().min(0)]);

/** Rows that are sent to a new peer, the most severe first. */
const MAX_SENT_ROWS = 1000;
/** Reaches that are sent in a message; receivers reject more than 2,000 entries of a kind. */
const MAX_SENT_REACHES = 2000;
const EXPIRY_PERIOD: Milliseconds = seconds(60);

export interface RelayedSuspectsOptions {
  readonly self: RouterId;
  /** The routers of the fleet; may contain this one. */
  readonly routers: () => readonly RouterId[];
}

export class RelayedSuspects {
  readonly #table = new SuspectTable();
  readonly #trials: ScheduledTrials;
  readonly #changed = new Set<Fingerprint>();
  readonly #newTrials = new Set<Fingerprint>();
  readonly #reaches = new CrashReaches();
  /** Contents whose reaches peers have not got. */
  readonly #newReaches = new Set<Fingerprint>();
  #listener: (change: SuspectChange) => void = () => undefined;
  #expiredAt: Instant | undefined;

  constructor({ self, routers }: RelayedSuspectsOptions) {
    this.#trials = new ScheduledTrials({ self, routers });
  }

  /** Number of contents that were running during a crash, cleared ones included. */
  get size(): number {
    return this.#table.size;
  }

  /** Whether there are changes to send to peers. */
  get hasChanges(): boolean {
    return (
      this.#changed.size > 0 ||
      this.#newTrials.size > 0 ||
      this.#newReaches.size > 0
    );
  }

  /** Registers a function that is called when this router observes a change. */
  onChanged(listener: (change: SuspectChange) => void): void {
    this.#listener = listener;
  }

  suspicion(id: Fingerprint): SuspicionKind {
    return suspicion(this.#table.get(id));
  }

  /** `others` is the number of further condemned contents in the request. */
  decide(id: Fingerprint, now: Instant, others = 0): ContentDecision {
    const row = this.#table.get(id);
    if (!row || suspicion(row) !== 'condemned') {
      return { kind: 'run' };
    }
    this.#table.touch(id, now);
    return this.#trials.isDue(row, now, others)
      ? { kind: 'trial' }
      : {
          kind: 'refuse',
          retryAfter: this.#trials.remaining(row, now, others),
        };
  }

  /** Decides on a request with several contents; any of them may have it refused. */
  decideAll(ids: readonly Fingerprint[], now: Instant): ContentDecision {
    let decision: ContentDecision = { kind: 'run' };
    const condemned = ids.filter(id => this.suspicion(id) === 'condemned');
    for (const id of condemned) {
      const next = this.decide(id, now, condemned.length - 1);
      const isLonger =
        next.kind === 'refuse' &&
        (decision.kind !== 'refuse' || next.retryAfter > decision.retryAfter);
      if (isLonger || decision.kind === 'run') {
        decision = next;
      }
    }
    return decision;
  }

  /** Records that a trial was sent; the next one must wait, whatever its result. */
  onTrialSent(ids: readonly Fingerprint[], now: Instant): void {
    for (const id of ids) {
      const isTrial = this.suspicion(id) === 'condemned';
      if (isTrial && this.#trials.recordTrial(id, now)) {
        this.#newTrials.add(id);
        this.#listener({ kind: 'trial', id });
      }
    }
  }

  /** Records that an endpoint crashed while a run of the content had sent a number of events. */
  recordCrash(id: Fingerprint, crash: CrashId, now: Instant, events = 0): void {
    if (this.#reaches.record([id, crash, events])) {
      this.#newReaches.add(id);
    }
    const wasCondemned = this.suspicion(id) === 'condemned';
    if (this.#table.recordCrash(id, crash, now)) {
      this.#onRowChanged(id, now);
      this.#changed.add(id);
      this.#listener({ kind: 'row', id, wasCondemned });
    }
  }

  /** Clears every content of a request that ran without harm. */
  clearAll(ids: readonly Fingerprint[], now: Instant): void {
    for (const id of ids) {
      this.clear(id, now);
    }
  }

  /** Clears every content of a run of the crashes before which fewer events had been sent. */
  recordProgress(
    ids: readonly Fingerprint[],
    events: number,
    now: Instant,
  ): void {
    for (const id of ids) {
      this.#clear(id, now, crash =>
        this.#reaches.isExceeded(id, crash, events),
      );
    }
  }

  /** Clears content of the crashes so far; returns true if it was a suspect. */
  clear(id: Fingerprint, now: Instant): boolean {
    return this.#clear(id, now, () => true);
  }

  #clear(
    id: Fingerprint,
    now: Instant,
    isDisproved: (crash: CrashId) => boolean,
  ): boolean {
    const wasCondemned = this.suspicion(id) === 'condemned';
    const isCleared = this.#table.clearOf(id, isDisproved, now);
    if (isCleared) {
      this.#changed.add(id);
      this.#listener({ kind: 'row', id, wasCondemned });
    }
    return isCleared;
  }

  /** Drops rows whose retention is over. */
  tick(now: Instant): void {
    if (
      this.#expiredAt !== undefined &&
      elapsed(this.#expiredAt, now) < EXPIRY_PERIOD
    ) {
      return;
    }
    this.#expiredAt = now;
    this.#table.expire(now);
    const isKnown = (id: Fingerprint) => this.#table.get(id) !== undefined;
    this.#trials.retain(isKnown);
    this.#reaches.retain(isKnown);
  }

  /** Returns and clears the rows that changed since the last call. */
  takeChanges(now: Instant): SuspectEntry[] {
    const rows = [...this.#changed].map(id => this.#table.get(id));
    this.#changed.clear();
    return rows
      .filter((row): row is Suspect => row !== undefined)
      .map(row => entryOf(row, now));
  }

  /** Returns and clears the trials that began since the last call. */
  takeTrials(now: Instant): TrialEntry[] {
    const entries: TrialEntry[] = [];
    for (const id of this.#newTrials) {
      entries.push([id, Math.round(this.#trials.sinceTrial(id, now) ?? 0)]);
    }
    this.#newTrials.clear();
    return entries;
  }

  /** Returns and clears the reaches that were recorded since the last call. */
  takeReaches(): CrashReach[] {
    const ids = [...this.#newReaches];
    this.#newReaches.clear();
    return this.#sentReaches(ids);
  }

  /** Returns the reaches of the rows for a new peer. */
  fullReaches(now: Instant): CrashReach[] {
    return this.#sentReaches(
      this.fullState(now).map(([key]) => fingerprint(key)),
    );
  }

  #sentReaches(ids: readonly Fingerprint[]): CrashReach[] {
    return [...this.#reaches.of(ids)].slice(0, MAX_SENT_REACHES);
  }

  /** Records reaches of other routers and returns how many entries were malformed. */
  receiveReaches(
    entries: readonly unknown[] | undefined,
    isRelay: boolean,
  ): number {
    return forEachValidEntry(entries, reachSchema, ([key, crash, events]) => {
      const id = fingerprint(key);
      // Without its row nothing would remove the reach again.
      const isNew =
        this.#table.get(id) !== undefined &&
        this.#reaches.record([id, crashId(crash), events]);
      if (isNew && isRelay) {
        this.#newReaches.add(id);
      }
    });
  }

  /** Records trials of other routers and returns how many entries were malformed. */
  receiveTrials(
    entries: readonly unknown[] | undefined,
    isRelay: boolean,
    now: Instant,
  ): number {
    return forEachValidEntry(entries, trialSchema, ([key, age]) => {
      const id = fingerprint(key);
      const isNew = this.#trials.recordTrial(id, (now - age) as Instant);
      if (isNew && isRelay) {
        this.#newTrials.add(id);
      }
    });
  }

  /** Returns the row of a content for others; undefined if it is not known. */
  entry(id: Fingerprint, now: Instant): SuspectEntry | undefined {
    const row = this.#table.get(id);
    return row && entryOf(row, now);
  }

  /** Returns the rows for a new peer, the most severe ones if there are too many. */
  fullState(now: Instant): SuspectEntry[] {
    const rows = [...this.#table.rows()];
    const severity = (row: Suspect) => SEVERITY[suspicion(row)];
    rows.sort((left, right) => severity(right) - severity(left));
    return rows.slice(0, MAX_SENT_ROWS).map(row => entryOf(row, now));
  }

  /**
   * Merges rows from a peer, or from the store, where they were for `delay`, and returns
   * how many were malformed; a relay passes on those that changed.
   */
  receive(
    entries: readonly unknown[] | undefined,
    isRelay: boolean,
    now: Instant,
    delay = 0,
  ): number {
    return forEachValidEntry(
      entries,
      entrySchema,
      ([key, crashes, cleared, age]) => {
        const id = fingerprint(key);
        const isChanged = this.#table.merge({
          id,
          crashes: new Set(crashes.map(crashId)),
          cleared: new Set(cleared.map(crashId)),
          seenAt: (now - age - delay) as Instant,
        });
        if (isChanged) {
          this.#onRowChanged(id, now);
        }
        if (isChanged && isRelay) {
          this.#changed.add(id);
        }
      },
    );
  }

  /** Starts the delay of a trial when this router learns of the crash, not at the next request. */
  #onRowChanged(id: Fingerprint, now: Instant): void {
    const row = this.#table.get(id);
    if (row && suspicion(row) !== 'none') {
      this.#trials.observe(row, now);
    }
  }
}

function entryOf(row: Suspect, now: Instant): SuspectEntry {
  return [
    row.id,
    [...row.crashes],
    [...row.cleared],
    milliseconds(Math.max(0, Math.round(elapsed(row.seenAt, now)))),
  ];
}
