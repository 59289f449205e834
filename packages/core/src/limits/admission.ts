/** Admits, queues or refuses the requests for one pool at one router. */
import type { Random } from '../random/random';
import type { RequestId, TeamId } from '../types/ids';
import type { RefusalReason } from '../types/refusal';
import { addTime, elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import type { DemandMeter } from './demand-meter';
import { DrainRate } from './drain-rate';
import type { FleetShares, TeamShare } from './fleet-shares';
import { clampCapacity } from './pool';
import type { PoolCapacity } from './pool';
import { RetryAfter } from './retry-after';
import type { TeamLimiter } from './team-limiter';
import type { TeamPolicy } from './team-policy';
import { WaitingQueue } from './waiting-queue';
import type { AdmissionEntry, WaitingRequest } from './waiting-queue';

export type AdmissionDecision =
  | { readonly kind: 'admitted'; readonly request: RequestId }
  | {
      readonly kind: 'queued';
      readonly request: RequestId;
      /** A later decision comes by this time. */
      readonly until: Instant;
    }
  | {
      readonly kind: 'refused';
      readonly request: RequestId;
      readonly reason: RefusalReason;
    };

export interface AdmissionSettings {
  /** Requests that may wait at this router for this pool. */
  readonly maxWaiting: number;
  /** Longest time that a request waits for a slot. */
  readonly maxWait: Milliseconds;
  /** Part of the pool's slots that teams over their share leave free. */
  readonly reserve: number;
}

export const DEFAULT_ADMISSION_SETTINGS: AdmissionSettings = {
  maxWaiting: 64,
  maxWait: seconds(2),
  reserve: 0.1,
};

/** A team whose share covers this part of its demand counts as within it. */
const tolerance = 0.8;

export interface AdmissionOptions {
  readonly policy: TeamPolicy;
  readonly limiter: TeamLimiter;
  readonly shares: FleetShares;
  /** The pool's own demand, which the admission measures. */
  readonly meter: DemandMeter;
  readonly random: Random;
}

interface Admitted {
  readonly entry: AdmissionEntry;
  readonly arrivedAt: Instant;
  readonly admittedAt: Instant;
}

/**
 * Teams within their fleet-wide share are admitted while a slot is free; of
 * a team well over its share only the part that the share allows is considered,
 * and it leaves a reserve of slots free. What finds no slot waits briefly; what
 * cannot get one in time is refused at once.
 */
export class Admission {
  readonly #policy: TeamPolicy;
  readonly #limiter: TeamLimiter;
  readonly #shares: FleetShares;
  readonly #meter: DemandMeter;
  readonly #random: Random;
  readonly #options: AdmissionSettings;
  readonly #retryAfter: RetryAfter;
  readonly #drain: DrainRate;
  readonly #queue: WaitingQueue;
  readonly #admitted = new Map<RequestId, Admitted>();
  readonly #running = new Map<TeamId, number>();
  /** What of each team's share was left over by its last requests, below 1. */
  readonly #credits = new Map<TeamId, number>();
  #capacity: PoolCapacity = { slots: 0, free: 0 };
  #nextOrder = 0;

  constructor(
    parts: AdmissionOptions,
    options: AdmissionSettings = DEFAULT_ADMISSION_SETTINGS,
  ) {
    this.#policy = parts.policy;
    this.#limiter = parts.limiter;
    this.#shares = parts.shares;
    this.#meter = parts.meter;
    this.#random = parts.random;
    this.#options = options;
    this.#retryAfter = new RetryAfter(parts.random);
    this.#drain = new DrainRate(1 / options.maxWait);
    this.#queue = new WaitingQueue((team, ahead) => this.#use(team, ahead));
  }

  get waiting(): number {
    return this.#queue.length;
  }

  /** Decides on a new request; decisions on others that it displaced come with the next tick. */
  request(entry: AdmissionEntry, now: Instant): AdmissionDecision {
    const { request, team, deadline } = entry;
    if (!(elapsed(now, deadline) > 0)) {
      return refused(request, { kind: 'deadline-exceeded' });
    }
    this.#meter.recordArrival(team, now);
    const standing = this.#shares.teamShare(team, now);
    const limit = this.#limiter.take(team, standing.trafficFraction, now);
    if (limit.kind === 'over') {
      return this.#overLimit(request, limit.wait, standing);
    }
    const overShare = isOverShare(standing);
    const room =
      !overShare && this.#queue.length === 0 && this.#fits(overShare);
    if (!room && !this.#takeCredit(team, standing.admitFraction)) {
      return this.#overLimit(request, seconds(1), standing);
    }
    this.#limiter.onStarted(team, now);
    return this.#enter(entry, overShare, now);
  }

  /**
   * Takes back an admitted request that every endpoint refused as full, so
   * that it waits for the rest of its time, before its team's later ones.
   */
  requeue(request: RequestId, now: Instant): AdmissionDecision | undefined {
    const admitted = this.#release(request);
    if (!admitted) {
      return undefined;
    }
    const { entry, arrivedAt } = admitted;
    this.#capacity = { ...this.#capacity, free: 0 };
    const until = this.#until(entry, arrivedAt);
    if (!(elapsed(now, until) > 0)) {
      this.#limiter.onFinished(entry.team, now);
      return this.#overloaded(entry, now);
    }
    const overShare = isOverShare(this.#shares.teamShare(entry.team, now));
    const order = -1 - this.#nextOrder;
    this.#queue.add({ entry, sequence: order, arrivedAt, until, overShare });
    return { kind: 'queued', request, until };
  }

  /** Notes that an admitted request ended and freed its slot; twice does nothing more. */
  onFinished(request: RequestId, now: Instant): void {
    const admitted = this.#release(request);
    if (!admitted) {
      return;
    }
    this.#meter.recordHoldingTime(elapsed(admitted.admittedAt, now));
    this.#limiter.onFinished(admitted.entry.team, now);
    const { slots, free } = this.#capacity;
    this.#capacity = { slots, free: Math.min(slots, free + 1) };
  }

  /** Drops a waiting request whose caller went away; false if it was not waiting. */
  cancel(request: RequestId, now: Instant): boolean {
    const waiting = this.#queue.remove(request);
    if (!waiting) {
      return false;
    }
    this.#limiter.onFinished(waiting.entry.team, now);
    return true;
  }

  /** Takes a newer view of the pool; what waits is decided by the next tick. */
  onCapacityChanged(capacity: PoolCapacity): void {
    this.#capacity = clampCapacity(capacity);
    this.#shares.onCapacityChanged(this.#capacity.slots);
  }

  /** Decides on waiting requests: admits what fits, refuses what cannot be in time. */
  tick(now: Instant): AdmissionDecision[] {
    const decisions: AdmissionDecision[] = [];
    let ahead = 0;
    for (const waiting of this.#queue.inOrder()) {
      const { entry } = waiting;
      if (elapsed(now, waiting.until) > 0 && this.#fits(waiting.overShare)) {
        this.#queue.remove(entry.request);
        decisions.push(this.#admit(entry, waiting.arrivedAt, now));
      } else if (this.#hopeless(waiting, ahead, now)) {
        this.#queue.remove(entry.request);
        this.#limiter.onFinished(entry.team, now);
        decisions.push(this.#overloaded(entry, now));
      } else {
        ahead += 1;
      }
    }
    return decisions;
  }

  #enter(
    entry: AdmissionEntry,
    overShare: boolean,
    now: Instant,
  ): AdmissionDecision {
    if (this.#queue.length === 0 && this.#fits(overShare)) {
      return this.#admit(entry, now, now);
    }
    const priority = Number.isFinite(entry.priority) ? entry.priority : 0;
    const waiting: WaitingRequest = {
      entry: { ...entry, priority },
      sequence: this.#nextOrder,
      arrivedAt: now,
      until: this.#until(entry, now),
      overShare,
    };
    this.#nextOrder += 1;
    this.#queue.add(waiting);
    const order = this.#queue.inOrder();
    const position = order.indexOf(waiting);
    if (position === 0 && this.#fits(overShare)) {
      this.#queue.remove(entry.request);
      return this.#admit(entry, now, now);
    }
    const full = position >= this.#options.maxWaiting;
    if (full || this.#hopeless(waiting, position, now)) {
      this.#queue.remove(entry.request);
      this.#limiter.onFinished(entry.team, now);
      return this.#overloaded(entry, now);
    }
    return { kind: 'queued', request: entry.request, until: waiting.until };
  }

  #until(entry: AdmissionEntry, from: Instant): Instant {
    const longest = addTime(from, this.#options.maxWait);
    return longest < entry.deadline ? longest : entry.deadline;
  }

  /** True when the request cannot be expected to get a slot in its time. */
  #hopeless(waiting: WaitingRequest, ahead: number, now: Instant): boolean {
    const left = elapsed(now, waiting.until);
    if (!(left > 0) || ahead >= this.#options.maxWaiting) {
      return true;
    }
    const total = elapsed(waiting.arrivedAt, waiting.until);
    return ahead > 0 && this.#drain.expectedWait(ahead, now) > total;
  }

  #fits(overShare: boolean): boolean {
    const { slots, free } = this.#capacity;
    const kept = overShare ? Math.ceil(slots * this.#options.reserve) : 0;
    return free >= 1 && free > kept;
  }

  #admit(
    entry: AdmissionEntry,
    arrivedAt: Instant,
    now: Instant,
  ): AdmissionDecision {
    this.#admitted.set(entry.request, { entry, arrivedAt, admittedAt: now });
    const { slots, free } = this.#capacity;
    this.#capacity = { slots, free: free - 1 };
    const running = this.#running.get(entry.team) ?? 0;
    this.#running.set(entry.team, running + 1);
    this.#drain.recordStart(now);
    return { kind: 'admitted', request: entry.request };
  }

  #release(request: RequestId): Admitted | undefined {
    const admitted = this.#admitted.get(request);
    if (!admitted) {
      return undefined;
    }
    this.#admitted.delete(request);
    const { team } = admitted.entry;
    const running = (this.#running.get(team) ?? 0) - 1;
    if (running > 0) {
      this.#running.set(team, running);
    } else {
      this.#running.delete(team);
    }
    return admitted;
  }

  #use(team: TeamId, ahead: number): number {
    const { weight } = this.#policy.limits(team);
    return ((this.#running.get(team) ?? 0) + ahead) / weight;
  }

  /** Lets through the given part of a team's requests, evenly spread. */
  #takeCredit(team: TeamId, fraction: number): boolean {
    if (fraction >= 1) {
      this.#credits.delete(team);
      return true;
    }
    const kept = this.#credits.get(team) ?? this.#random.fraction();
    const credit = kept + fraction;
    this.#credits.set(team, credit >= 1 ? credit - 1 : credit);
    return credit >= 1;
  }

  #overLimit(
    request: RequestId,
    wait: Milliseconds,
    standing: TeamShare,
  ): AdmissionDecision {
    const retryAfter = this.#retryAfter.delay(wait, standing.admitFraction);
    return refused(request, { kind: 'team-over-limit', retryAfter });
  }

  #overloaded(entry: AdmissionEntry, now: Instant): AdmissionDecision {
    const { admitFraction } = this.#shares.teamShare(entry.team, now);
    const wait = this.#drain.expectedWait(this.#queue.length + 1, now);
    const retryAfter = this.#retryAfter.delay(
      milliseconds(wait),
      admitFraction,
    );
    return refused(entry.request, { kind: 'overloaded', retryAfter });
  }
}

function isOverShare(standing: TeamShare): boolean {
  return standing.admitFraction < tolerance;
}

function refused(request: RequestId, reason: RefusalReason): AdmissionDecision {
  return { kind: 'refused', request, reason };
}
