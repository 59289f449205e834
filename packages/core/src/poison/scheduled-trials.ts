/**
 * Schedules the trials of condemned content. The delay grows with each crash. Then the
 * number of routers that may run it doubles, in the order of a hash, until one of them
 * gets a request and announces the trial: whatever the fleet's size and the rate of
 * requests, a second one rarely begins before the first is known.
 */
import { rendezvousWeight } from '../hashing/rendezvous';
import type { Fingerprint, RouterId } from '../types/ids';
import { elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { crashesToCondemn, unclearedCrashes } from './suspect';
import type { Suspect } from './suspect';

const LONGEST_DELAY: Milliseconds = seconds(7200);
/** Delay of the first trial after the last crash, and after each trial that crashed an endpoint. */
const TRIAL_DELAYS: readonly Milliseconds[] = [
  seconds(2),
  seconds(60),
  seconds(600),
  LONGEST_DELAY,
];
/** Key of the hash by which the delay of a content is up to twice as long. */
const TRIAL_SPREAD_KEY = 'trial';
const MAX_WEIGHT = 2 ** 32;
/** Time in which the number of routers that may run a due trial doubles. */
const DOUBLING_TIME: Milliseconds = seconds(1);
/** Share of the routers, but at least one, that may run a trial as soon as it is due. */
const FIRST_SHARE = 1 / 64;
/**
 * Delay of a trial for each further condemned content of the request, as one with
 * fewer may come.
 */
const DELAY_PER_OTHER_CONTENT: Milliseconds = seconds(10);
/** Retry-After of content whose trial is due at other routers. */
const DUE_RETRY_AFTER: Milliseconds = seconds(2);

interface Schedule {
  readonly crashCount: number;
  /** Number of trials that crashed an endpoint. */
  readonly failedTrials: number;
  /** When this router learned of the last crash. */
  readonly since: Instant;
  /** When a router last sent a trial, as far as this one knows. */
  readonly triedAt: Instant | undefined;
}

/** Rank of this router for a content in a fleet of some size. */
interface CachedRank {
  readonly fleetSize: number;
  readonly rank: number;
}

export interface ScheduledTrialsOptions {
  readonly self: RouterId;
  readonly routers: () => readonly RouterId[];
}

export class ScheduledTrials {
  readonly #options: ScheduledTrialsOptions;
  readonly #schedules = new Map<Fingerprint, Schedule>();
  readonly #ranks = new Map<Fingerprint, CachedRank>();

  constructor(options: ScheduledTrialsOptions) {
    this.#options = options;
  }

  /**
   * Whether this router may run the condemned content once now. `others` is the number
   * of further condemned contents in the request, which make a crash less conclusive.
   */
  isDue(row: Suspect, now: Instant, others = 0): boolean {
    const { since, triedAt, failedTrials } = this.observe(row, now);
    const delay = trialDelay(row.id, failedTrials);
    const hasWaited = triedAt === undefined || elapsed(triedAt, now) >= delay;
    const overdue =
      elapsed(since, now) - delay - others * DELAY_PER_OTHER_CONTENT;
    const first = Math.max(1, this.#options.routers().length * FIRST_SHARE);
    return (
      hasWaited &&
      overdue >= 0 &&
      this.#rank(row.id) < Math.floor(first * 2 ** (overdue / DOUBLING_TIME))
    );
  }

  /** Time until the next trial of any router with such a request. */
  remaining(row: Suspect, now: Instant, others = 0): Milliseconds {
    const { since, triedAt, failedTrials } = this.observe(row, now);
    const delay = trialDelay(row.id, failedTrials);
    const untilDue = Math.max(
      delay + others * DELAY_PER_OTHER_CONTENT - elapsed(since, now),
      triedAt === undefined ? 0 : delay - elapsed(triedAt, now),
    );
    return milliseconds(untilDue > 0 ? untilDue : DUE_RETRY_AFTER);
  }

  /** Records a trial; returns false if the content has no schedule or the trial is known. */
  recordTrial(id: Fingerprint, at: Instant): boolean {
    const schedule = this.#schedules.get(id);
    if (!schedule || at <= (schedule.triedAt ?? schedule.since)) {
      return false;
    }
    this.#schedules.set(id, { ...schedule, triedAt: at });
    return true;
  }

  /** Time since the last trial; undefined if there was none. */
  sinceTrial(id: Fingerprint, now: Instant): Milliseconds | undefined {
    const triedAt = this.#schedules.get(id)?.triedAt;
    return triedAt === undefined ? undefined : elapsed(triedAt, now);
  }

  /** Starts or continues the schedule of content with uncleared crashes. */
  observe(row: Suspect, now: Instant): Schedule {
    const crashCount = unclearedCrashes(row).length;
    const known = this.#schedules.get(row.id);
    if (known?.crashCount === crashCount) {
      return known;
    }
    const schedule = {
      crashCount,
      failedTrials: failedTrials(row.id, known, crashCount, now),
      since: now,
      triedAt: undefined,
    };
    this.#schedules.set(row.id, schedule);
    return schedule;
  }

  /** Drops the schedules of content for which `isKnown` returns false. */
  retain(isKnown: (id: Fingerprint) => boolean): void {
    for (const id of this.#schedules.keys()) {
      if (!isKnown(id)) {
        this.#schedules.delete(id);
        this.#ranks.delete(id);
      }
    }
  }

  /** Number of routers that may run the trial before this one. */
  #rank(id: Fingerprint): number {
    const { self } = this.#options;
    const routers = this.#options.routers();
    const cached = this.#ranks.get(id);
    if (cached?.fleetSize === routers.length) {
      return cached.rank;
    }
    const own = rendezvousWeight(id, self);
    const rank = routers.filter(
      router => router !== self && rendezvousWeight(id, router) > own,
    ).length;
    this.#ranks.set(id, { fleetSize: routers.length, rank });
    return rank;
  }
}

/**
 * Contents that were condemned by the same crashes are spread over time: one of them
 * would crash the endpoint under the trial of another.
 */
function trialDelay(id: Fingerprint, failedTrials: number): Milliseconds {
  const delay = TRIAL_DELAYS[failedTrials] ?? LONGEST_DELAY;
  const spread = 1 + rendezvousWeight(id, TRIAL_SPREAD_KEY) / MAX_WEIGHT;
  return milliseconds(delay * spread);
}

/**
 * Crashes before a trial was due come from requests that were already sent. A router
 * that joins later cannot tell, and assumes the most.
 */
function failedTrials(
  id: Fingerprint,
  known: Schedule | undefined,
  crashCount: number,
  now: Instant,
): number {
  if (!known) {
    return Math.max(0, crashCount - crashesToCondemn(id));
  }
  if (crashCount < known.crashCount) {
    return 0;
  }
  const { failedTrials, since } = known;
  const wasDue =
    known.crashCount >= crashesToCondemn(id) &&
    elapsed(since, now) >= trialDelay(id, failedTrials);
  return failedTrials + (wasDue ? 1 : 0);
}
