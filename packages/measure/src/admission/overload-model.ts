/**
 * Model of a fleet in time steps, for measuring admission control: routers with late views send
 * requests to endpoints with slots; callers retry what is refused until their time is over.
 */
import { chooseServiceEndpoint } from '@sesamegrade/core/endpoints/service-placement';
import { estimateUnseen } from '@sesamegrade/core/loads/unseen-requests';
import { Random } from '@sesamegrade/core/random/random';
import {
  endpointId,
  requestId,
  routeId,
  teamId,
} from '@sesamegrade/core/types/ids';
import { instant, milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import { ServiceAdmission } from '@sesamegrade/core/admission/service-admission';
import type {
  ServiceDecision,
  ServiceView,
} from '@sesamegrade/core/admission/service-admission';

const STEP_MS = 10;
/** Time between snapshots of the loads that other routers see. */
const SNAPSHOT_MS = 50;
const SNAPSHOTS = 10;
/** Range of the age, in snapshots, of what a router sees of the others. */
const MIN_VIEW_AGE = 3;
const MAX_VIEW_AGE = 8;
/** Delay by which routers estimate what others have begun, as in `loadUpdateDelay`. */
const UNREPORTED_MS = 300;
const TICK_MS = 30;
/** Standard deviations above which a tenth of the requests has its work. */
const LARGE_DEVIATION = 1.2816;
/** Retry delay of a router without admission control whose endpoints all reject. */
const PLAIN_RETRY_MS = 300;

/** Requests of one kind. */
export interface TrafficClass {
  readonly route: string;
  readonly team: string;
  readonly priority: number;
  readonly perSecond: number;
  /** Median time that an endpoint works on one; the spread is log-normal. */
  readonly medianMs: number;
  readonly sigma: number;
  /** Latest begin of the work for a response in time. */
  readonly latencyGoalMs: number;
  readonly timeoutMs: number;
  readonly repeatable: boolean;
}

export interface OverloadScenario {
  readonly seed: number;
  readonly routers: number;
  readonly endpoints: number;
  readonly slots: number;
  /** Whether a full endpoint rejects requests instead of queueing them. */
  readonly rejects: boolean;
  readonly classes: readonly TrafficClass[];
  readonly durationMs: number;
  /** When `lost` endpoints disappear with what runs there, and when they return. */
  readonly lossAtMs: number;
  readonly returnAtMs: number;
  readonly lost: number;
  /** Factor of the work of all requests that begin during the loss. */
  readonly slowdown?: number;
  /** Measured time; begins when the loss has had its effect. */
  readonly measureFromMs: number;
  readonly measureToMs: number;
  readonly hasAdmission: boolean;
  /** Age of the views; undefined for routers that hear no other. */
  readonly viewAge?: (nowMs: number) => Milliseconds | undefined;
  readonly isViewFrozenFromMs?: number;
}

export interface ClassResult {
  offered: number;
  inTime: number;
  served: number;
  /** Requests that ended without having been sent to an endpoint. */
  refused: number;
  /** Requests that were cut off at an endpoint by their timeout. */
  cutOff: number;
  /** Of the tenth with the most work. */
  largeOffered: number;
  largeServed: number;
}

export interface OverloadResult {
  readonly byClass: ReadonlyMap<TrafficClass, ClassResult>;
  /** Refusals, of which a caller may get several. */
  refusals: number;
  /** Refusals while under half of the slots were taken. */
  wrongRefusals: number;
  heldMs: number;
  maxHeldMs: number;
  /** Largest retry delay as a share of the remaining time. */
  maxRetryShare: number;
  /** Time that admitted requests were held. */
  admittedHeldMs: number;
  admissions: number;
  waited: number;
  /** Mean requests at the endpoints beyond their slots. */
  queuedAtEndpoints: number;
  maxQueuedAtEndpoints: number;
  /** Mean share of the slots that is taken. */
  utilisation: number;
}

interface Call {
  readonly id: number;
  readonly kind: TrafficClass;
  readonly result: ClassResult | undefined;
  readonly arrivedAt: number;
  readonly work: number;
  readonly isLarge: boolean;
  router: number;
  sentAt: number;
  decidedFrom: number;
  wasSent: boolean;
}

interface Endpoint {
  isUp: boolean;
  readonly running: { readonly call: Call; readonly endsAt: number }[];
  readonly queue: Call[];
}

export class OverloadModel {
  readonly #scenario: OverloadScenario;
  readonly #random: Random;
  readonly #admissions: ServiceAdmission[];
  readonly #endpoints: Endpoint[];
  readonly #own: Int32Array[];
  readonly #snapshots: { totals: number[]; own: Int32Array[] }[] = [];
  readonly #viewAges: number[];
  readonly #retries = new Map<number, Call[]>();
  readonly #waiting: Map<string, Call>[];
  readonly #result: OverloadResult;
  #nextCall = 0;
  #now = 0;
  #steps = 0;

  constructor(scenario: OverloadScenario) {
    this.#scenario = scenario;
    this.#random = new Random(scenario.seed);
    const routers = Array.from({ length: scenario.routers });
    this.#admissions = routers.map(
      () => new ServiceAdmission(new Random(this.#random.seed())),
    );
    this.#waiting = routers.map(() => new Map<string, Call>());
    this.#endpoints = Array.from({ length: scenario.endpoints }, () => ({
      isUp: true,
      running: [],
      queue: [],
    }));
    this.#own = routers.map(() => new Int32Array(scenario.endpoints));
    this.#viewAges = routers.map(() =>
      this.#random.integer(MIN_VIEW_AGE, MAX_VIEW_AGE),
    );
    this.#result = {
      byClass: new Map(
        scenario.classes.map(kind => [
          kind,
          {
            offered: 0,
            inTime: 0,
            served: 0,
            refused: 0,
            cutOff: 0,
            largeOffered: 0,
            largeServed: 0,
          },
        ]),
      ),
      refusals: 0,
      wrongRefusals: 0,
      heldMs: 0,
      maxHeldMs: 0,
      maxRetryShare: 0,
      admittedHeldMs: 0,
      admissions: 0,
      waited: 0,
      queuedAtEndpoints: 0,
      maxQueuedAtEndpoints: 0,
      utilisation: 0,
    };
  }

  run(): OverloadResult {
    const { durationMs, lossAtMs, returnAtMs, lost } = this.#scenario;
    for (; this.#now < durationMs; this.#now += STEP_MS) {
      if (this.#now === lossAtMs) {
        this.#endpoints.slice(0, lost).forEach(endpoint => {
          this.#lose(endpoint);
        });
      }
      if (this.#now === returnAtMs) {
        this.#endpoints.forEach(endpoint => {
          endpoint.isUp = true;
        });
      }
      this.#advanceEndpoints();
      this.#snapshot();
      this.#tickRouters();
      const retries = this.#retries.get(this.#now) ?? [];
      this.#retries.delete(this.#now);
      for (const call of retries) {
        this.#offer(call);
      }
      this.#arrive();
      this.#measure();
    }
    const steps = Math.max(1, this.#steps);
    this.#result.queuedAtEndpoints /= steps;
    this.#result.utilisation /= steps;
    return this.#result;
  }

  /** Requests that other routers begin before this router sees them. */
  get #unreported(): number {
    const perSecond = this.#scenario.classes.reduce(
      (sum, kind) => sum + kind.perSecond,
      0,
    );
    return (perSecond * UNREPORTED_MS) / 1000;
  }

  get #isMeasured(): boolean {
    const { measureFromMs, measureToMs } = this.#scenario;
    return this.#now >= measureFromMs && this.#now < measureToMs;
  }

  #measure(): void {
    if (!this.#isMeasured) {
      return;
    }
    const { slots } = this.#scenario;
    const up = this.#endpoints.filter(({ isUp }) => isUp);
    const queued = up.reduce((sum, { queue }) => sum + queue.length, 0);
    const running = up.reduce(
      (sum, endpoint) => sum + endpoint.running.length,
      0,
    );
    this.#steps += 1;
    this.#result.queuedAtEndpoints += queued;
    this.#result.maxQueuedAtEndpoints = Math.max(
      this.#result.maxQueuedAtEndpoints,
      queued,
    );
    this.#result.utilisation += running / Math.max(1, up.length * slots);
  }

  #arrive(): void {
    for (const kind of this.#scenario.classes) {
      const mean = (kind.perSecond * STEP_MS) / 1000;
      for (
        let sum = this.#random.exponential(1);
        sum < mean;
        sum += this.#random.exponential(1)
      ) {
        const result = this.#isMeasured
          ? this.#result.byClass.get(kind)
          : undefined;
        if (result) {
          result.offered += 1;
        }
        this.#nextCall += 1;
        const deviation = this.#normal();
        const isLarge = deviation >= LARGE_DEVIATION;
        if (result && isLarge) {
          result.largeOffered += 1;
        }
        this.#offer({
          isLarge,
          id: this.#nextCall,
          kind,
          result,
          arrivedAt: this.#now,
          work: kind.medianMs * Math.exp(kind.sigma * deviation),
          router: 0,
          sentAt: 0,
          decidedFrom: this.#now,
          wasSent: false,
        });
      }
    }
  }

  #normal(): number {
    const radius = Math.sqrt(2 * this.#random.exponential(1));
    return radius * Math.cos(2 * Math.PI * this.#random.fraction());
  }

  #remaining(call: Call): number {
    return call.arrivedAt + call.kind.timeoutMs - this.#now;
  }

  /** Offers a request to a router. */
  #offer(call: Call): void {
    const remaining = this.#remaining(call);
    if (remaining <= 0) {
      this.#giveUp(call);
      return;
    }
    call.router = this.#random.integer(0, this.#scenario.routers - 1);
    call.decidedFrom = this.#now;
    if (!this.#scenario.hasAdmission) {
      this.#send(call);
      return;
    }
    const { kind } = call;
    const request = requestId(String(call.id));
    const decision = this.#admission(call.router).decide(
      {
        request,
        route: routeId(kind.route),
        team: teamId(kind.team),
        priority: kind.priority,
        latencyGoal: milliseconds(kind.latencyGoalMs),
        remaining: milliseconds(remaining),
        repeatable: kind.repeatable,
      },
      this.#view(call.router),
      instant(this.#now),
    );
    if (decision.kind === 'wait') {
      this.#result.waited += Number(this.#isMeasured);
      this.#waiting[call.router]?.set(request, call);
    } else {
      this.#apply(call, decision);
    }
  }

  #apply(
    call: Call,
    decision: Exclude<ServiceDecision, { kind: 'wait' }>,
  ): void {
    const held = this.#now - call.decidedFrom;
    if (decision.kind === 'admit') {
      if (this.#isMeasured) {
        this.#result.admissions += 1;
        this.#result.admittedHeldMs += held;
      }
      this.#send(call);
      return;
    }
    if (this.#isMeasured) {
      this.#result.refusals += 1;
      this.#result.heldMs += held;
      this.#result.maxHeldMs = Math.max(this.#result.maxHeldMs, held);
      this.#result.maxRetryShare = Math.max(
        this.#result.maxRetryShare,
        decision.retryAfter / Math.max(1, this.#remaining(call)),
      );
      const { slots } = this.#scenario;
      const up = this.#endpoints.filter(({ isUp }) => isUp);
      const taken = up.reduce((sum, { running }) => sum + running.length, 0);
      this.#result.wrongRefusals += Number(taken < (up.length * slots) / 2);
    }
    this.#retry(call, decision.retryAfter);
  }

  #retry(call: Call, delay: number): void {
    const at =
      this.#now +
      Math.max(1, Math.ceil(Math.max(40, delay) / STEP_MS)) * STEP_MS;
    if (at >= call.arrivedAt + call.kind.timeoutMs) {
      this.#giveUp(call);
      return;
    }
    const calls = this.#retries.get(at) ?? [];
    calls.push(call);
    this.#retries.set(at, calls);
  }

  #giveUp(call: Call): void {
    if (call.result && !call.wasSent) {
      call.result.refused += 1;
    }
  }

  #admission(router: number): ServiceAdmission {
    const admission = this.#admissions[router];
    if (!admission) {
      throw new RangeError(`there is no router ${router}`);
    }
    return admission;
  }

  #send(call: Call, tried: ReadonlySet<number> = new Set()): void {
    const { slots, rejects } = this.#scenario;
    const others = this.#others(call.router);
    const own = this.#own[call.router];
    const candidates = this.#endpoints.flatMap(({ isUp }, index) =>
      isUp && !tried.has(index)
        ? [
            {
              id: endpointId(String(index)),
              own: own?.[index] ?? 0,
              others: others[index] ?? 0,
              slots,
              near: true,
              speed: 1,
            },
          ]
        : [],
    );
    const seen = candidates.reduce(
      (sum, candidate) => sum + candidate.others,
      0,
    );
    const chosen = chooseServiceEndpoint(
      candidates,
      estimateUnseen(this.#unreported, seen),
      () => this.#random.fraction(),
    );
    const endpoint = this.#endpoints[Number(chosen)];
    if (chosen === undefined || !endpoint) {
      this.#retry(
        call,
        Math.min(PLAIN_RETRY_MS, this.#remaining(call) / 3) *
          (0.4 + 0.6 * this.#random.fraction()),
      );
      return;
    }
    if (endpoint.running.length < slots) {
      this.#begin(endpoint, call);
    } else if (rejects) {
      this.#send(call, new Set([...tried, Number(chosen)]));
      return;
    } else {
      endpoint.queue.push(call);
    }
    call.sentAt = this.#now;
    call.wasSent = true;
    this.#count(call, endpoint, 1);
  }

  #count(call: Call, endpoint: Endpoint, by: number): void {
    const own = this.#own[call.router];
    const index = this.#endpoints.indexOf(endpoint);
    if (own) {
      own[index] = (own[index] ?? 0) + by;
    }
  }

  #begin(endpoint: Endpoint, call: Call): void {
    const isSlow =
      this.#now >= this.#scenario.lossAtMs &&
      this.#now < this.#scenario.returnAtMs;
    const factor = isSlow ? (this.#scenario.slowdown ?? 1) : 1;
    endpoint.running.push({ call, endsAt: this.#now + call.work * factor });
    if (
      call.result &&
      this.#now - call.arrivedAt <= call.kind.latencyGoalMs &&
      call.work * factor <= this.#remaining(call)
    ) {
      call.result.inTime += 1;
    }
  }

  #advanceEndpoints(): void {
    for (const endpoint of this.#endpoints) {
      this.#expireQueue(endpoint);
      const { running, queue } = endpoint;
      for (let index = running.length - 1; index >= 0; index -= 1) {
        const entry = running[index];
        if (!entry) {
          continue;
        }
        const { call, endsAt } = entry;
        const isOver = this.#remaining(call) <= 0 && endsAt > this.#now;
        if (endsAt <= this.#now || isOver) {
          running.splice(index, 1);
          this.#finish(endpoint, call, isOver);
        }
      }
      while (running.length < this.#scenario.slots) {
        const next = queue.shift();
        if (!next) {
          break;
        }
        this.#begin(endpoint, next);
      }
    }
  }

  #expireQueue(endpoint: Endpoint): void {
    const { queue } = endpoint;
    for (let index = queue.length - 1; index >= 0; index -= 1) {
      const call = queue[index];
      if (call && this.#remaining(call) <= 0) {
        queue.splice(index, 1);
        this.#finish(endpoint, call, true);
      }
    }
  }

  #finish(endpoint: Endpoint, call: Call, isCutOff: boolean): void {
    this.#count(call, endpoint, -1);
    this.#admission(call.router).recordDuration(
      routeId(call.kind.route),
      milliseconds(this.#now - call.sentAt),
    );
    if (call.result && isCutOff) {
      call.result.cutOff += 1;
    } else if (call.result) {
      call.result.served += 1;
      call.result.largeServed += Number(call.isLarge);
    }
  }

  /** Ends an endpoint; streams continue elsewhere, what may not be repeated is lost. */
  #lose(endpoint: Endpoint): void {
    endpoint.isUp = false;
    const calls = [
      ...endpoint.running.splice(0).map(({ call }) => call),
      ...endpoint.queue.splice(0),
    ];
    for (const call of calls) {
      this.#count(call, endpoint, -1);
      if (call.kind.repeatable && this.#remaining(call) > 0) {
        this.#send(call);
      }
    }
  }

  #snapshot(): void {
    const { isViewFrozenFromMs = Number.POSITIVE_INFINITY } = this.#scenario;
    if (this.#now % SNAPSHOT_MS !== 0 || this.#now >= isViewFrozenFromMs) {
      return;
    }
    this.#snapshots.unshift({
      totals: this.#endpoints.map(
        ({ running, queue }) => running.length + queue.length,
      ),
      own: this.#own.map(own => own.slice()),
    });
    this.#snapshots.length = Math.min(this.#snapshots.length, SNAPSHOTS);
  }

  /** The requests of other routers by endpoint, as this router sees them. */
  #others(router: number): number[] {
    const age = this.#viewAges[router] ?? 0;
    const seen = this.#snapshots[Math.min(age, this.#snapshots.length - 1)];
    const own = seen?.own[router];
    return this.#endpoints.map((_endpoint, index) =>
      Math.max(0, (seen?.totals[index] ?? 0) - (own?.[index] ?? 0)),
    );
  }

  #view(router: number): ServiceView {
    const { slots, routers, viewAge } = this.#scenario;
    const others = this.#others(router);
    const own = this.#own[router];
    let requests = 0;
    let up = 0;
    for (const [index, { isUp }] of this.#endpoints.entries()) {
      if (isUp) {
        up += 1;
        requests += (others[index] ?? 0) + (own?.[index] ?? 0);
      }
    }
    return {
      slots: up * slots,
      requests,
      routers,
      age: viewAge ? viewAge(this.#now) : milliseconds(0),
    };
  }

  #tickRouters(): void {
    for (const [router, admission] of this.#admissions.entries()) {
      if (
        admission.waiting === 0 ||
        (this.#now + router * STEP_MS) % TICK_MS !== 0
      ) {
        continue;
      }
      const decisions = admission.tick(this.#view(router), instant(this.#now));
      for (const { request, decision } of decisions) {
        const call = this.#waiting[router]?.get(request);
        this.#waiting[router]?.delete(request);
        if (call) {
          this.#apply(call, decision);
        }
      }
    }
  }
}
