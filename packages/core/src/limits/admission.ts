/** Admission control of one router for one pool: admits, queues or refuses requests. */
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
      /** A later decision on the request is made by this time. */
      readonly until: Instant;
    }
  | {
      readonly kind: 'refused';
      readonly request: RequestId;
      readonly reason: RefusalReason;
    };

export interface AdmissionSettings {
  /** Maximum number of requests that wait at this router for this pool. */
  readonly maxWaiting: number;
  /** Maximum time that a request waits for a slot. */
  readonly maxWait: Milliseconds;
  /** Fraction of the pool's slots that teams over their share may not use. */
  readonly reserve: number;
}

export const DEFAULT_ADMISSION_SETTINGS: AdmissionSettings = {
  maxWaiting: 64,
  maxWait: seconds(2),
  reserve: 0.1,
};

/** Fraction of its demand that a share must cover for the team to count as within its share. */
const MIN_SHARE_COVERAGE = 0.8;

export interface AdmissionOptions {
  readonly policy: TeamPolicy;
  readonly limiter: TeamLimiter;
  readonly shares: FleetShares;
  /** Receives the arrivals and holding times of this router's requests for the pool. */
  readonly meter: DemandMeter;
  readonly random: Random;
}

interface Admitted {
  readonly entry: AdmissionEntry;
  readonly arrivedAt: Instant;
  readonly admittedAt: Instant;
}

/**
 * Requests of teams within their fleet-wide share are admitted while a slot is
 * free. Of a team well over its share, only the fraction that the share allows
 * is considered, and a reserve of slots stays free of that team's requests. A
 * request without a free slot is queued for a short time; one that cannot be
 * expected to get a slot in that time is refused immediately.
 */
export class Admission {
  readonly #policy: TeamPolicy;
  readonly #limiter: TeamLimiter;
  readonly #shares: FleetShares;
  readonly #meter: DemandMeter;
  readonly #random: Random;
  readonly #settings: AdmissionSettings;
  readonly #retryAfter: RetryAfter;
  readonly #drain: DrainRate;
  readonly #queue: WaitingQueue;
  readonly #admitted = new Map<RequestId, Admitted>();
  readonly #running = new Map<TeamId, number>();
  /** Fractional requests that each over-share team may still have admitted, below 1. */
  readonly #admissionCredits = new Map<TeamId, number>();
  #capacity: PoolCapacity = { slots: 0, free: 0 };
  #nextSequence = 0;

  constructor(
    options: AdmissionOptions,
    settings: AdmissionSettings = DEFAULT_ADMISSION_SETTINGS,
  ) {
    this.#policy = options.policy;
    this.#limiter = options.limiter;
    this.#shares = options.shares;
    this.#meter = options.meter;
    this.#random = options.random;
    this.#settings = settings;
    this.#retryAfter = new RetryAfter(options.random);
    this.#drain = new DrainRate(1 / settings.maxWait);
    this.#queue = new WaitingQueue((team, ahead) =>
      this.#weightedUsage(team, ahead),
    );
  }

  get waiting(): number {
    return this.#queue.length;
  }

  /**
   * Decides on a new request; requests that it displaces in the queue are
   * decided by the next tick.
   */
  request(entry: AdmissionEntry, now: Instant): AdmissionDecision {
    const { request, team, deadline } = entry;
    if (!(elapsed(now, deadline) > 0)) {
      return refused(request, { kind: 'deadline-exceeded' });
    }
    this.#meter.recordArrival(team, now);
    const share = this.#shares.teamShare(team, now);
    const check = this.#limiter.take(team, share.trafficFraction, now);
    if (check.kind === 'over') {
      return this.#refuseOverLimit(request, check.wait, share);
    }
    const overShare = isOverShare(share);
    const admitsAtOnce =
      !overShare && this.#queue.length === 0 && this.#hasFreeSlot(overShare);
    if (
      !admitsAtOnce &&
      !this.#takeAdmissionCredit(team, share.admitFraction)
    ) {
      return this.#refuseOverLimit(request, seconds(1), share);
    }
    this.#limiter.onStarted(team, now);
    return this.#admitOrQueue(entry, overShare, now);
  }

  /**
   * Queues an admitted request again after every endpoint rejected it as full.
   * It waits for the remainder of its maximum wait, ahead of later requests of
   * its team. Returns undefined when the request is not admitted.
   */
  requeue(request: RequestId, now: Instant): AdmissionDecision | undefined {
    const admitted = this.#release(request);
    if (!admitted) {
      return undefined;
    }
    const { entry, arrivedAt } = admitted;
    this.#capacity = { ...this.#capacity, free: 0 };
    const until = this.#queueDeadline(entry, arrivedAt);
    if (!(elapsed(now, until) > 0)) {
      this.#limiter.onFinished(entry.team, now);
      return this.#refuseOverloaded(entry, now);
    }
    const overShare = isOverShare(this.#shares.teamShare(entry.team, now));
    const sequence = -1 - this.#nextSequence;
    this.#queue.add({ entry, sequence, arrivedAt, until, overShare });
    return { kind: 'queued', request, until };
  }

  /** Frees the slot of an admitted request that ended; a repeated call has no effect. */
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

  /** Removes a queued request whose caller disconnected; returns false if it was not queued. */
  cancel(request: RequestId, now: Instant): boolean {
    const waiting = this.#queue.remove(request);
    if (!waiting) {
      return false;
    }
    this.#limiter.onFinished(waiting.entry.team, now);
    return true;
  }

  /** Replaces the capacity of the pool; queued requests are decided by the next tick. */
  onCapacityChanged(capacity: PoolCapacity): void {
    this.#capacity = clampCapacity(capacity);
    this.#shares.onCapacityChanged(this.#capacity.slots);
  }

  /** Admits queued requests that have a free slot and refuses those that cannot start in time. */
  tick(now: Instant): AdmissionDecision[] {
    const decisions: AdmissionDecision[] = [];
    let ahead = 0;
    for (const waiting of this.#queue.inOrder()) {
      const { entry } = waiting;
      if (
        elapsed(now, waiting.until) > 0 &&
        this.#hasFreeSlot(waiting.overShare)
      ) {
        this.#queue.remove(entry.request);
        decisions.push(this.#admit(entry, waiting.arrivedAt, now));
      } else if (this.#cannotStartInTime(waiting, ahead, now)) {
        this.#queue.remove(entry.request);
        this.#limiter.onFinished(entry.team, now);
        decisions.push(this.#refuseOverloaded(entry, now));
      } else {
        ahead += 1;
      }
    }
    return decisions;
  }

  #admitOrQueue(
    entry: AdmissionEntry,
    overShare: boolean,
    now: Instant,
  ): AdmissionDecision {
    if (this.#queue.length === 0 && this.#hasFreeSlot(overShare)) {
      return this.#admit(entry, now, now);
    }
    const priority = Number.isFinite(entry.priority) ? entry.priority : 0;
    const waiting: WaitingRequest = {
      entry: { ...entry, priority },
      sequence: this.#nextSequence,
      arrivedAt: now,
      until: this.#queueDeadline(entry, now),
      overShare,
    };
    this.#nextSequence += 1;
    this.#queue.add(waiting);
    const queued = this.#queue.inOrder();
    const position = queued.indexOf(waiting);
    if (position === 0 && this.#hasFreeSlot(overShare)) {
      this.#queue.remove(entry.request);
      return this.#admit(entry, now, now);
    }
    const full = position >= this.#settings.maxWaiting;
    if (full || this.#cannotStartInTime(waiting, position, now)) {
      this.#queue.remove(entry.request);
      this.#limiter.onFinished(entry.team, now);
      return this.#refuseOverloaded(entry, now);
    }
    return { kind: 'queued', request: entry.request, until: waiting.until };
  }

  #queueDeadline(entry: AdmissionEntry, from: Instant): Instant {
    const latest = addTime(from, this.#settings.maxWait);
    return latest < entry.deadline ? latest : entry.deadline;
  }

  /** True when the request is not expected to get a slot before its wait ends. */
  #cannotStartInTime(
    waiting: WaitingRequest,
    ahead: number,
    now: Instant,
  ): boolean {
    const remaining = elapsed(now, waiting.until);
    if (!(remaining > 0) || ahead >= this.#settings.maxWaiting) {
      return true;
    }
    const maxWait = elapsed(waiting.arrivedAt, waiting.until);
    return ahead > 0 && this.#drain.expectedWait(ahead, now) > maxWait;
  }

  #hasFreeSlot(overShare: boolean): boolean {
    const { slots, free } = this.#capacity;
    const reserved = overShare ? Math.ceil(slots * this.#settings.reserve) : 0;
    return free >= 1 && free > reserved;
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

  #weightedUsage(team: TeamId, ahead: number): number {
    const { weight } = this.#policy.limits(team);
    return ((this.#running.get(team) ?? 0) + ahead) / weight;
  }

  /** Returns true for the given fraction of a team's requests, evenly spaced. */
  #takeAdmissionCredit(team: TeamId, fraction: number): boolean {
    if (fraction >= 1) {
      this.#admissionCredits.delete(team);
      return true;
    }
    const remaining =
      this.#admissionCredits.get(team) ?? this.#random.fraction();
    const credit = remaining + fraction;
    this.#admissionCredits.set(team, credit >= 1 ? credit - 1 : credit);
    return credit >= 1;
  }

  #refuseOverLimit(
    request: RequestId,
    wait: Milliseconds,
    share: TeamShare,
  ): AdmissionDecision {
    const retryAfter = this.#retryAfter.delay(wait, share.admitFraction);
    return refused(request, { kind: 'team-over-limit', retryAfter });
  }

  #refuseOverloaded(entry: AdmissionEntry, now: Instant): AdmissionDecision {
    const { admitFraction } = this.#shares.teamShare(entry.team, now);
    const wait = this.#drain.expectedWait(this.#queue.length + 1, now);
    const retryAfter = this.#retryAfter.delay(
      milliseconds(wait),
      admitFraction,
    );
    return refused(entry.request, { kind: 'overloaded', retryAfter });
  }
}

function isOverShare(share: TeamShare): boolean {
  return share.admitFraction < MIN_SHARE_COVERAGE;
}

function refused(request: RequestId, reason: RefusalReason): AdmissionDecision {
  return { kind: 'refused', request, reason };
}
