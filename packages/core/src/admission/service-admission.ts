/**
 * Admission control of one router for one service. While the fleet has free slots, every request
 * is admitted at once. When all are taken, the requests that this router sends are limited to its
 * part of what the endpoints finish; others wait here, or are refused if they cannot start in time.
 */
import { DemandMeter } from '../limits/demand-meter';
import { DrainRate } from '../limits/drain-rate';
import { maxMinShares } from '../limits/max-min-shares';
import { WaitingQueue } from '../limits/waiting-queue';
import type { WaitingRequest } from '../limits/waiting-queue';
import type { Random } from '../random/random';
import type { RequestId, RouteId, TeamId } from '../types/ids';
import { addTime, elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { DurationDistribution } from './duration-distribution';

/**
 * Time until other routers' requests appear in the view: counts pass a relay and are up to 400 ms
 * old. Endpoints get as many requests beyond their slots as they finish in half of it, so that no
 * slot stays free until the view shows it.
 */
const VIEW_DELAY: Milliseconds = milliseconds(400);
/** Age up to which a view counts in full; its weight falls to 0 at the maximum age. */
const FRESH_VIEW: Milliseconds = milliseconds(1500);
const MAX_VIEW_AGE: Milliseconds = seconds(3);
/**
 * Requests beyond the slots, as a part of those finished during the view's delay, that each more
 * urgent level may add. Requests two levels below get no room at all then.
 */
const LEVEL_STEP = 0.5;
/**
 * Part of what the endpoints finish during the view's delay that may have finished unseen. With
 * 0, up to 157 of 14,391 refusals of the model fell on half-empty endpoints; 0.75 queues more.
 */
const UNSEEN_FINISHED = 0.5;
/** Priority from which requests belong to the least urgent level. */
const LEAST_URGENT = 2;
/** Level of requests by which a team is over its share. */
const OVER_SHARE_LEVEL = -1;
/** Rank in the queue of these requests: behind all others. */
const OVER_SHARE_PRIORITY = Number.MAX_SAFE_INTEGER;
/** A team is over its share if the share covers less than this part of what it covers on average. */
const MIN_RELATIVE_COVERAGE = 0.8;
/** Lower bound of the served part by which shares are computed. */
const MIN_SERVED = 0.5;
/** Longest wait, as a share of the latency goal. */
const WAIT_PER_GOAL = 0.5;
/**
 * Part of the average rate at which every team is served, whatever its priority; callers need a
 * quarter.
 */
const TEAM_FLOOR = 0.4;
/** By which the floor of each more urgent level is higher, so that floors do not favour others. */
const FLOOR_STEP = 0.15;
/** Excess up to which requests of the floor are admitted, in those finished during the view's delay. */
const MAX_FLOOR_EXCESS = 2;
const MAX_FLOOR_CREDIT = 2;
/**
 * Requests per slot up to which the durations are taken to include the wait at the endpoint: in a
 * queue that grows fast they are those of requests before it, and would show too many finishing.
 */
const MAX_QUEUE_PER_SLOT = 2;
/** Time without requests for which a router keeps its part, in delays of the view. */
const SAVED_DELAYS = 0.5;
/** Requests that urgent ones may take ahead of this router's part. */
const MAX_DEBT = 2;
/**
 * Durations that are needed to judge whether a request can finish: of its route, or else of the
 * service.
 */
const MIN_DURATIONS = 16;
/**
 * Quantiles of the durations that must fit into the remaining time. The outcome of a write that is
 * cut off is unknown: of writes of 600 ms at 18 slow slots, 26 instead of 36 in 100 are cut off.
 */
const REPEATABLE_QUANTILE = 0.25;
const UNREPEATABLE_QUANTILE = 0.5;
/** The same for requests that displace more urgent ones. */
const FLOOR_QUANTILE = 0.75;
/** Largest share of the remaining time that a retry delay takes. */
const RETRY_AFTER_SHARE = 1 / 3;
/** Least part of the longest delay, over which callers are spread; a refusal costs processor time. */
const MIN_DELAY_SPREAD = 0.7;
const MAX_TEAMS = 5000;
const MAX_ROUTES = 1000;
/** Weight of one decision in the moving average of the admitted part. */
const SERVED_GAIN = 0.02;
/** Lower bound of the admitted part of a level by which retry delays grow. */
const MIN_LEVEL_SERVED = 0.02;
const SHARES_PERIOD: Milliseconds = milliseconds(250);

/** The service as this router sees it. */
export interface ServiceView {
  /** Slots of the endpoints that take requests. */
  readonly slots: number;
  /** Estimated requests of the whole fleet at these endpoints. */
  readonly requests: number;
  readonly routers: number;
  /** Time since the fleet's load was heard of; undefined if it never was. */
  readonly age: Milliseconds | undefined;
}

export interface ServiceRequest {
  readonly request: RequestId;
  readonly route: RouteId;
  readonly team: TeamId;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly latencyGoal: Milliseconds;
  /** Time until the caller gives up. */
  readonly remaining: Milliseconds;
  readonly repeatable: boolean;
}

/** `too-late`: it cannot finish; `no-room`: it cannot start in time. */
export type OverloadReason = 'too-late' | 'no-room';

export type ServiceDecision =
  | { readonly kind: 'admit' }
  | { readonly kind: 'wait'; readonly until: Instant }
  | {
      readonly kind: 'refuse';
      readonly reason: OverloadReason;
      readonly retryAfter: Milliseconds;
    };

/** A decision on a request that has waited. */
export interface LaterDecision {
  readonly request: RequestId;
  readonly decision: Exclude<ServiceDecision, { kind: 'wait' }>;
}

export interface ServiceAdmissionSettings {
  readonly maxWait: Milliseconds;
  /** Maximum number of requests that wait. */
  readonly maxWaiting: number;
}

export const DEFAULT_SERVICE_ADMISSION_SETTINGS: ServiceAdmissionSettings = {
  maxWait: seconds(1),
  maxWaiting: 256,
};

interface Waiting extends ServiceRequest {
  readonly level: number;
  readonly expiresAt: Instant;
}

export class ServiceAdmission {
  readonly #random: Random;
  readonly #settings: ServiceAdmissionSettings;
  readonly #meter = new DemandMeter();
  readonly #durations = new Map<RouteId, DurationDistribution>();
  readonly #allDurations = new DurationDistribution();
  readonly #drains = new Map<number, DrainRate>();
  readonly #queue: WaitingQueue;
  readonly #waiting = new Map<RequestId, Waiting>();
  /** Requests of each level that each team is owed. */
  readonly #floorCredits = new Map<number, Map<TeamId, number>>();
  /** Fractional requests of each team over its share that its share covers, below 1. */
  readonly #shareCredits = new Map<TeamId, number>();
  #shares = new Map<TeamId, number>();
  #sharesAt: Instant | undefined;
  /** Requests that this router may send now. */
  #tokens: number;
  #tokensAt: Instant | undefined;
  /** Moving average of the part of requests that is admitted, and by level. */
  #served = 1;
  readonly #servedByLevel = new Map<number, number>();

  constructor(
    random: Random,
    settings: ServiceAdmissionSettings = DEFAULT_SERVICE_ADMISSION_SETTINGS,
  ) {
    this.#random = random;
    this.#settings = settings;
    this.#tokens = random.fraction();
    this.#queue = new WaitingQueue(
      (team, ahead) => ahead + this.#uncovered(team),
    );
  }

  get waiting(): number {
    return this.#queue.length;
  }

  /** Decides on a request of which nothing was sent. */
  decide(
    request: ServiceRequest,
    view: ServiceView,
    now: Instant,
  ): ServiceDecision {
    this.#meter.recordArrival(request.team, now);
    const excess = excessOf(view);
    if (this.#queue.length === 0 && !this.#isFull(view, excess)) {
      return this.#admit(levelOf(request.priority), now);
    }
    return this.#decideFull(request, view, excess, now);
  }

  /** Decides on waiting requests; those left wait on. */
  tick(view: ServiceView, now: Instant): LaterDecision[] {
    const decisions: LaterDecision[] = [];
    const excess = excessOf(view);
    const ahead = new Map<number, number>();
    for (const { entry, until } of this.#queue.inOrder()) {
      const waiting = this.#waiting.get(entry.request);
      if (!waiting) {
        continue;
      }
      const { level } = waiting;
      this.#refill(level, view, excess, now);
      const before = ahead.get(level) ?? 0;
      const isOver = !(elapsed(now, waiting.expiresAt) > 0);
      if (!isOver && (isBlind(view) || this.#takeToken())) {
        decisions.push(
          this.#end(waiting, this.#admitFull(waiting.team, level, now)),
        );
      } else if (
        isOver ||
        now >= until ||
        this.#drain(level).expectedWait(before, now) >
          elapsed(now, until) + VIEW_DELAY
      ) {
        const isAdmitted = !isOver && !this.#isFull(view, excess);
        const remaining = milliseconds(
          Math.max(0, elapsed(now, waiting.expiresAt)),
        );
        decisions.push(
          this.#end(
            waiting,
            isAdmitted
              ? this.#admit(level, now)
              : this.#refuse('no-room', level, remaining, now),
          ),
        );
      } else {
        ahead.set(level, before + 1);
      }
    }
    return decisions;
  }

  /** Forgets a waiting request, as its caller left or the router stops. */
  cancel(request: RequestId): void {
    this.#waiting.delete(request);
    this.#queue.remove(request);
  }

  /** Records how long an endpoint worked on a request, or has until the request was given up. */
  recordDuration(route: RouteId, duration: Milliseconds): void {
    let durations = this.#durations.get(route);
    if (!durations) {
      if (this.#durations.size >= MAX_ROUTES) {
        this.#durations.clear();
      }
      durations = new DurationDistribution();
      this.#durations.set(route, durations);
    }
    durations.record(duration);
    this.#allDurations.record(duration);
    this.#meter.recordHoldingTime(duration);
  }

  #decideFull(
    request: ServiceRequest,
    view: ServiceView,
    excess: number,
    now: Instant,
  ): ServiceDecision {
    const shortest = this.#durationOf(
      request,
      request.repeatable ? REPEATABLE_QUANTILE : UNREPEATABLE_QUANTILE,
    );
    const level = this.#levelInShare(request, now);
    const isOwed = this.#isOwedFloor(request.team, level);
    const isFull = this.#isFull(view, excess);
    if (isFull && shortest > request.remaining) {
      return this.#refuse('too-late', level, request.remaining, now);
    }
    this.#refill(level, view, excess, now);
    const finished = this.#finishedIn(view);
    const isBelowLevel = level > 0 && excess < level * LEVEL_STEP * finished;
    const takesFloor =
      isOwed &&
      excess < MAX_FLOOR_EXCESS * finished &&
      this.#durationOf(request, FLOOR_QUANTILE) <= request.remaining;
    if (isBelowLevel || takesFloor) {
      this.#tokens = Math.max(this.#tokens - 1, -MAX_DEBT);
      return this.#admitFull(request.team, level, now);
    }
    if (this.#aheadOf(level) === 0 && this.#takeToken()) {
      return this.#admitFull(request.team, level, now);
    }
    return this.#wait(request, level, shortest, isFull, now);
  }

  #wait(
    request: ServiceRequest,
    level: number,
    shortest: Milliseconds,
    isFull: boolean,
    now: Instant,
  ): ServiceDecision {
    const { maxWait, maxWaiting } = this.#settings;
    const longest = Math.min(
      maxWait,
      request.latencyGoal * WAIT_PER_GOAL,
      request.remaining - shortest,
    );
    const expected = this.#drain(level).expectedWait(
      this.#aheadOf(level) + 1,
      now,
    );
    const cannotWait = this.#queue.length >= maxWaiting || expected > longest;
    if (isFull && cannotWait) {
      return this.#refuse('no-room', level, request.remaining, now);
    }
    const until = addTime(now, milliseconds(longest));
    const expiresAt = addTime(now, request.remaining);
    const waiting: WaitingRequest = {
      entry: {
        request: request.request,
        team: request.team,
        priority:
          level === OVER_SHARE_LEVEL ? OVER_SHARE_PRIORITY : request.priority,
        deadline: expiresAt,
      },
      // The one whose time ends first goes first among equals.
      sequence: until,
      arrivedAt: now,
      until,
      overShare: level === OVER_SHARE_LEVEL,
    };
    this.#queue.add(waiting);
    this.#waiting.set(request.request, { ...request, level, expiresAt });
    return { kind: 'wait', until };
  }

  #admitFull(
    team: TeamId,
    level: number,
    now: Instant,
  ): { readonly kind: 'admit' } {
    this.#addFloorCredit(team, level, -1);
    return this.#admit(level, now);
  }

  #admit(level: number, now: Instant): { readonly kind: 'admit' } {
    this.#recordDecision(true, level);
    this.#drain(level).recordStart(now);
    return { kind: 'admit' };
  }

  #refuse(
    reason: OverloadReason,
    level: number,
    remaining: Milliseconds,
    now: Instant,
  ): Extract<ServiceDecision, { kind: 'refuse' }> {
    this.#recordDecision(false, level);
    const served = this.#servedByLevel.get(level) ?? 1;
    const expected =
      this.#drain(level).expectedWait(this.#aheadOf(level) + 1, now) /
      Math.max(MIN_LEVEL_SERVED, served);
    const longest = remaining * RETRY_AFTER_SHARE;
    const fraction = this.#random.fraction();
    return {
      kind: 'refuse',
      reason,
      retryAfter: milliseconds(
        Math.min(
          expected * (0.5 + fraction),
          longest * (MIN_DELAY_SPREAD + (1 - MIN_DELAY_SPREAD) * fraction),
        ),
      ),
    };
  }

  #end(
    { request }: Waiting,
    decision: LaterDecision['decision'],
  ): LaterDecision {
    this.cancel(request);
    return { request, decision };
  }

  /** Adds this router's part of what the endpoints finish, corrected towards the level's threshold. */
  #refill(
    level: number,
    view: ServiceView,
    excess: number,
    now: Instant,
  ): void {
    const finished = this.#finishedIn(view);
    const threshold = LEVEL_STEP * (level + 1) * finished;
    const perDelay = Math.max(
      0,
      (finished + threshold - excess) / Math.max(1, view.routers),
    );
    const delays =
      Math.min(elapsed(this.#tokensAt ?? now, now), VIEW_DELAY) / VIEW_DELAY;
    this.#tokens = Math.min(
      this.#tokens + perDelay * Math.max(0, delays),
      perDelay * SAVED_DELAYS,
    );
    this.#tokensAt = now;
  }

  /**
   * Takes one token. A fraction of a token is one with that probability: the fractions of all
   * routers together may exceed the room of a small service.
   */
  #takeToken(): boolean {
    if (this.#tokens >= 1) {
      this.#tokens -= 1;
      return true;
    }
    if (this.#tokens <= 0) {
      return false;
    }
    const isTaken = this.#random.fraction() < this.#tokens;
    this.#tokens = 0;
    return isTaken;
  }

  /**
   * Whether all slots are taken in the view, and half of them still are after what the endpoints
   * may have finished meanwhile: the view of a service with short requests is older than they are.
   */
  #isFull(view: ServiceView, excess: number): boolean {
    const mayHaveFinished = this.#finishedIn(view) * UNSEEN_FINISHED;
    return excess >= Math.max(0, mayHaveFinished - view.slots / 2);
  }

  /** Requests that the endpoints finish during the delay of the view, by Little's law. */
  #finishedIn({ slots, requests }: ServiceView): number {
    const { mean, count } = this.#allDurations;
    return count === 0
      ? slots
      : (Math.min(Math.max(slots, requests), slots * MAX_QUEUE_PER_SLOT) *
          VIEW_DELAY) /
          Math.max(1, mean);
  }

  #durationOf({ route }: ServiceRequest, quantile: number): Milliseconds {
    const ofRoute = this.#durations.get(route);
    const durations =
      ofRoute && ofRoute.count >= MIN_DURATIONS ? ofRoute : this.#allDurations;
    return durations.count >= MIN_DURATIONS
      ? durations.quantile(quantile)
      : milliseconds(0);
  }

  /** The level of a request; that of teams over their share for what exceeds it. */
  #levelInShare({ team, priority }: ServiceRequest, now: Instant): number {
    const coverage = this.#coverage(team, now);
    if (coverage >= 1) {
      this.#shareCredits.delete(team);
      return levelOf(priority);
    }
    const credit =
      (this.#shareCredits.get(team) ?? this.#random.fraction()) + coverage;
    setBounded(this.#shareCredits, team, credit >= 1 ? credit - 1 : credit);
    return credit >= 1 ? levelOf(priority) : OVER_SHARE_LEVEL;
  }

  /** Part of a team's requests that its max-min share covers; 1 if it is not far over it. */
  #coverage(team: TeamId, now: Instant): number {
    if (
      this.#sharesAt === undefined ||
      elapsed(this.#sharesAt, now) >= SHARES_PERIOD
    ) {
      this.#computeShares(now);
    }
    return this.#shares.get(team) ?? 1;
  }

  #computeShares(now: Instant): void {
    const served = Math.max(MIN_SERVED, this.#served);
    const demands = [...this.#meter.demands(now)].map(([team, demand]) => ({
      team,
      demand,
      weight: 1,
    }));
    const total = demands.reduce((sum, { demand }) => sum + demand, 0);
    const shares = maxMinShares(total * served, demands);
    this.#shares = new Map(
      demands.flatMap(({ team, demand }): [TeamId, number][] => {
        const coverage = (shares.get(team) ?? demand) / demand;
        return coverage < MIN_RELATIVE_COVERAGE * served
          ? [[team, coverage]]
          : [];
      }),
    );
    this.#sharesAt = now;
  }

  /** Part of a team's requests that its share does not cover. */
  #uncovered(team: TeamId): number {
    return 1 - (this.#shares.get(team) ?? 1);
  }

  /**
   * Whether a team is owed a request of a level. It is owed a part of the average rate at which
   * requests are admitted, less its requests that were admitted in any way.
   */
  #isOwedFloor(team: TeamId, level: number): boolean {
    return (
      level !== OVER_SHARE_LEVEL &&
      this.#addFloorCredit(
        team,
        level,
        TEAM_FLOOR * (1 + FLOOR_STEP * level) * this.#served,
      ) >= 1
    );
  }

  #addFloorCredit(team: TeamId, level: number, change: number): number {
    let credits = this.#floorCredits.get(level);
    if (!credits) {
      credits = new Map();
      this.#floorCredits.set(level, credits);
    }
    const known = credits.get(team) ?? this.#random.fraction();
    const credit = Math.max(
      -MAX_FLOOR_CREDIT,
      Math.min(known + change, MAX_FLOOR_CREDIT),
    );
    setBounded(credits, team, credit);
    return credit;
  }

  #recordDecision(isAdmitted: boolean, level: number): void {
    const admitted = Number(isAdmitted);
    const ofLevel = this.#servedByLevel.get(level) ?? 1;
    this.#served += (admitted - this.#served) * SERVED_GAIN;
    this.#servedByLevel.set(
      level,
      ofLevel + (admitted - ofLevel) * SERVED_GAIN,
    );
  }

  /** Waiting requests that go before a new one of the level. */
  #aheadOf(level: number): number {
    let count = 0;
    for (const waiting of this.#waiting.values()) {
      count += Number(waiting.level >= level);
    }
    return count;
  }

  #drain(level: number): DrainRate {
    let drain = this.#drains.get(level);
    if (!drain) {
      drain = new DrainRate(1 / seconds(2));
      this.#drains.set(level, drain);
    }
    return drain;
  }
}

/** Requests beyond the slots, less the older the view is; negative while slots are free. */
function excessOf(view: ServiceView): number {
  const { slots, requests, age = milliseconds(0) } = view;
  const excess = requests - slots;
  if (excess < 0 || isBlind(view)) {
    return Math.min(excess, -1);
  }
  const staleness = (age - FRESH_VIEW) / (MAX_VIEW_AGE - FRESH_VIEW);
  return excess * Math.min(1, 1 - staleness);
}

/** Whether the view says nothing, so that every request is admitted. */
function isBlind({ slots, age }: ServiceView): boolean {
  return age === undefined || age >= MAX_VIEW_AGE || slots <= 0;
}

function levelOf(priority: number): number {
  return Math.min(LEAST_URGENT, Math.max(0, LEAST_URGENT - priority)) || 0;
}

function setBounded(
  values: Map<TeamId, number>,
  team: TeamId,
  value: number,
): void {
  if (values.size >= MAX_TEAMS && !values.has(team)) {
    values.clear();
  }
  values.set(team, value);
}
