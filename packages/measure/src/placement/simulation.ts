/** Runs one placement variant on one workload; the decision code is called directly. */
import {
  LoadOwners,
  SMALL_FLEET_LOAD_OWNERS,
} from '@sesamegrade/core/loads/load-owners';
import type { Placement } from '@sesamegrade/core/placement/placement';
import { Random } from '@sesamegrade/core/random/random';
import { routerId } from '@sesamegrade/core/types/ids';
import type { EndpointId, RouterId } from '@sesamegrade/core/types/ids';
import { ChurnSchedule } from './churn-schedule';
import type { SimulatedEngine } from './simulated-engine';
import { EventQueue } from './event-queue';
import { EngineFleet } from './engine-fleet';
import { ByteMeter, ErrorMeter, SkewMeter } from './meters';
import type { Measures } from './meters';
import { PeerTraffic } from './peer-traffic';
import type { LoadExchangeSettings } from './peer-traffic';
import { SimulatedAffinity } from './simulated-affinity';
import { SimulatedRouter, toInstant } from './simulated-router';
import type { PlacementScenario } from './scenario';
import { LoadChecker } from './load-checker';
import type { PlacementVariant } from './placement-variant';
import { LOAD_HEADERS_BYTES, HEALTH_POLL_BYTES } from './wire-sizes';
import type { WorkloadRequest } from './workload';

const SKEW_SAMPLE_PERIOD_SECONDS = 0.1;
const REPORT_PERIOD_SECONDS = 0.5;
const POLL_PERIOD_SECONDS = 1;
/** Fraction of a request's service time after which its response headers arrive. */
const HEADERS_FRACTION = 0.25;
/** A request that found no endpoint is placed again after this time. */
const SATURATED_RETRY_SECONDS = 0.2;
const MAX_TRIES = 10;

/** Time between two messages to a peer if every router sends its loads to all others. */
const MESH_SEND_PERIOD_SECONDS = 0.5;

/** A request that is to be placed. */
interface PendingPlacement {
  readonly request: WorkloadRequest;
  readonly tries: number;
  /** Engines that already refused the request. */
  readonly excluded: ReadonlySet<EndpointId>;
  /** Whether the request already ran on an engine that crashed. */
  readonly isRepeated: boolean;
}

/** A request that an engine runs. */
interface RunningRequest {
  readonly request: WorkloadRequest;
  readonly engine: SimulatedEngine;
  readonly router: SimulatedRouter;
  isLost: boolean;
}

export class Simulation {
  readonly #scenario: PlacementScenario;
  readonly #variant: PlacementVariant;
  readonly #queue = new EventQueue();
  readonly #fleet: EngineFleet;
  readonly #routers: SimulatedRouter[];
  readonly #placement: Placement;
  readonly #affinity: SimulatedAffinity;
  readonly #loadChecker: LoadChecker;
  readonly #bytes: ByteMeter;
  readonly #skew: SkewMeter;
  readonly #estimateErrors = new ErrorMeter();
  readonly #owners: LoadOwners;
  readonly #routerIds: readonly RouterId[];
  readonly #runningRequests = new Set<RunningRequest>();
  #now = 0;
  #requests = 0;
  #returning = 0;
  #reused = 0;
  #refused = 0;
  #decisions = 0;
  #decisionMs = 0;

  constructor(
    scenario: PlacementScenario,
    variant: PlacementVariant,
    baseExchange: LoadExchangeSettings,
  ) {
    const exchange = variant.checksLoad
      ? baseExchange
      : { ...baseExchange, sendPeriod: MESH_SEND_PERIOD_SECONDS };
    this.#scenario = scenario;
    this.#variant = variant;
    this.#fleet = new EngineFleet(scenario);
    this.#placement = variant.placement(
      scenario.bound,
      new Random(scenario.seed + 2),
    );
    this.#bytes = new ByteMeter(scenario.routers);
    this.#skew = new SkewMeter(scenario.bound);
    this.#owners = new LoadOwners(this.#smallFleetOwners());
    this.#routerIds = Array.from({ length: scenario.routers }, (_, index) =>
      routerId(`router-${index}`),
    );
    this.#updateOwners();
    this.#routers = this.#routerIds.map(id => this.#buildRouter(id, exchange));
    this.#affinity = new SimulatedAffinity(this.#routers, this.#bytes);
    this.#loadChecker = new LoadChecker(
      this.#routers,
      this.#bytes,
      scenario.bound,
    );
    if (variant.loadSource === 'told') {
      new PeerTraffic(
        this.#routers,
        this.#queue,
        this.#bytes,
        exchange,
      ).start();
    }
  }

  run(workload: readonly WorkloadRequest[]): Measures {
    const { warmUpSeconds, seconds } = this.#scenario;
    const end = warmUpSeconds + seconds;
    this.#schedule();
    this.#queue.add(workload[0]?.at ?? end, () => {
      this.#arriveNext(workload, 0);
    });
    for (
      let event = this.#queue.take();
      event && event.at <= end;
      event = this.#queue.take()
    ) {
      this.#now = event.at;
      event.run();
    }
    return this.#measures();
  }

  #measures(): Measures {
    const { seconds } = this.#scenario;
    return {
      reuse: this.#reused / Math.max(1, this.#returning),
      skewMean: this.#skew.mean,
      skewP99: this.#skew.percentile(0.99),
      engineSecondsAbove: this.#skew.engineSecondsAbove,
      refused: this.#refused,
      requests: this.#requests,
      questionsPerRequest:
        this.#loadChecker.sentCount / Math.max(1, this.#requests),
      bytesPerRouterSecond: this.#bytes.meanPerSecond(seconds),
      bytesOfBusiestRouter: this.#bytes.highestPerSecond(seconds),
      estimateError: this.#estimateErrors.rootMeanSquare,
      decisionMicroseconds:
        (this.#decisionMs * 1000) / Math.max(1, this.#decisions),
    };
  }

  #buildRouter(id: RouterId, exchange: LoadExchangeSettings): SimulatedRouter {
    const { loadSource } = this.#variant;
    const router = new SimulatedRouter({
      id,
      loadSource,
      lag: this.#scenario.lag,
      peerDelay: exchange.sendPeriod,
      averaging: exchange.averaging,
      averagingWithoutCounts: exchange.averagingWithoutCounts,
      reportDecay: exchange.reportDecay,
      routers: () => this.#routerIds,
      smallFleetOwners: this.#smallFleetOwners(),
    });
    for (const engine of this.#fleet.live) {
      router.add(engine);
    }
    return router;
  }

  /** Assigns the live engines to owners; the primary owner of an engine polls it. */
  #updateOwners(): void {
    this.#owners.update(
      this.#routerIds,
      this.#fleet.live.map(({ id }) => id),
    );
  }

  #primaryOwnerOf(endpoint: EndpointId): RouterId | undefined {
    return this.#owners.ownersOf(endpoint)[0];
  }

  #smallFleetOwners(): number | undefined {
    return this.#variant.checksLoad ? SMALL_FLEET_LOAD_OWNERS : undefined;
  }

  #schedule(): void {
    const { warmUpSeconds, churn } = this.#scenario;
    this.#queue.add(warmUpSeconds, () => {
      this.#bytes.clear();
    });
    this.#every(SKEW_SAMPLE_PERIOD_SECONDS, warmUpSeconds, () => {
      this.#skew.sample(this.#fleet.live, SKEW_SAMPLE_PERIOD_SECONDS);
    });
    this.#every(1, warmUpSeconds, () => {
      this.#sampleEstimateErrors();
      this.#updateOwners();
    });
    if (this.#variant.loadSource === 'own') {
      this.#every(REPORT_PERIOD_SECONDS, 0, () => {
        this.#reportToAll();
      });
    }
    if (this.#variant.loadSource === 'told') {
      this.#every(POLL_PERIOD_SECONDS, 0, () => {
        this.#poll();
      });
    }
    if (churn) {
      new ChurnSchedule(
        this.#scenario,
        this.#queue,
        this.#fleet,
        this.#routers,
        engine => {
          this.#loseRunningRequests(engine);
        },
      ).schedule();
    }
  }

  #every(period: number, from: number, action: () => void): void {
    const step = (index: number): void => {
      const at = from + index * period;
      this.#queue.add(at, () => {
        action();
        step(index + 1);
      });
    };
    step(0);
  }

  /** Applies the late report of every engine at every router. */
  #reportToAll(): void {
    const observedAt = this.#now - this.#scenario.lag;
    for (const engine of this.#fleet.live) {
      const load = engine.loadAt(observedAt);
      for (const router of this.#routers) {
        router.applyReport(engine, load, observedAt, this.#now);
      }
    }
  }

  /** Applies a late report of each engine at its primary owner, which polls it. */
  #poll(): void {
    const observedAt = this.#now - this.#scenario.lag;
    for (const engine of this.#fleet.live) {
      const owner = this.#primaryOwnerOf(engine.id);
      const index = this.#routers.findIndex(({ id }) => id === owner);
      this.#bytes.add(index, HEALTH_POLL_BYTES);
      const load = engine.loadAt(observedAt);
      this.#routers[index]?.applyReport(engine, load, observedAt, this.#now);
    }
  }

  #sampleEstimateErrors(): void {
    const router = this.#routers[Math.floor(this.#now) % this.#routers.length];
    for (const candidate of router?.candidates(this.#now, new Set()) ?? []) {
      const engine = router?.engine(candidate.id);
      if (engine?.isAlive) {
        this.#estimateErrors.add(candidate.load - engine.running);
      }
    }
  }

  #arriveNext(workload: readonly WorkloadRequest[], index: number): void {
    const request = workload[index];
    if (!request) {
      return;
    }
    this.#place({ request, tries: 0, excluded: new Set(), isRepeated: false });
    const next = workload[index + 1];
    if (next) {
      this.#queue.add(next.at, () => {
        this.#arriveNext(workload, index + 1);
      });
    }
  }

  #place(pending: PendingPlacement): void {
    const { request, excluded } = pending;
    const router = this.#routers[request.router];
    if (!router) {
      return;
    }
    const affinityEndpoint = this.#variant.usesAffinity
      ? this.#affinity.resolve(request, router)
      : undefined;
    const startedAt = performance.now();
    const candidates = router.candidates(this.#now, excluded);
    const placementRequest = { chat: request.chat, affinityEndpoint };
    const choice = this.#variant.checksLoad
      ? this.#loadChecker.place(
          this.#placement,
          placementRequest,
          router,
          candidates,
          this.#now,
        )
      : this.#placement.place(
          placementRequest,
          candidates,
          toInstant(this.#now),
        );
    this.#decisionMs += performance.now() - startedAt;
    this.#decisions += 1;
    if (choice.kind !== 'endpoint') {
      this.#placeLater(pending);
      return;
    }
    const engine = router.engine(choice.endpoint);
    if (engine && this.#start(pending, router, engine)) {
      return;
    }
    this.#place({
      ...pending,
      tries: pending.tries + 1,
      excluded: new Set([...excluded, choice.endpoint]),
    });
  }

  #placeLater(pending: PendingPlacement): void {
    if (pending.tries >= MAX_TRIES) {
      this.#refused += 1;
      return;
    }
    const next = {
      ...pending,
      tries: pending.tries + 1,
      excluded: new Set<never>(),
    };
    this.#queue.add(this.#now + SATURATED_RETRY_SECONDS, () => {
      this.#place(next);
    });
  }

  #start(
    pending: PendingPlacement,
    router: SimulatedRouter,
    engine: SimulatedEngine,
  ): boolean {
    const { request } = pending;
    const reused = engine.isAlive
      ? engine.start(request.chat, this.#now)
      : undefined;
    if (reused === undefined) {
      return false;
    }
    this.#count(pending, reused);
    router.onRequestStarted(engine, this.#now);
    this.#affinity.record(request, router, engine.id);
    const running = { request, engine, router, isLost: false };
    this.#runningRequests.add(running);
    this.#scheduleEnd(running);
    return true;
  }

  #count({ request, isRepeated }: PendingPlacement, reused: boolean): void {
    if (isRepeated || request.at < this.#scenario.warmUpSeconds) {
      return;
    }
    this.#requests += 1;
    if (request.returning) {
      this.#returning += 1;
      this.#reused += reused ? 1 : 0;
    }
  }

  #scheduleEnd(running: RunningRequest): void {
    const { request, engine, router } = running;
    const headersAt = this.#now + HEADERS_FRACTION * request.serviceSeconds;
    this.#queue.add(headersAt, () => {
      if (!running.isLost) {
        this.#bytes.add(request.router, LOAD_HEADERS_BYTES);
        router.applyReport(engine, engine.running, headersAt, headersAt);
      }
    });
    const endsAt = this.#now + request.serviceSeconds;
    this.#queue.add(endsAt, () => {
      if (!running.isLost) {
        this.#finish(running);
      }
    });
  }

  #finish(running: RunningRequest): void {
    this.#runningRequests.delete(running);
    running.engine.finish(this.#now);
    running.router.onRequestEnded(running.engine, this.#now);
  }

  /** Places the requests again that an engine ran when it crashed. */
  #loseRunningRequests(engine: SimulatedEngine): void {
    for (const running of [...this.#runningRequests]) {
      if (running.engine === engine) {
        running.isLost = true;
        this.#finish(running);
        this.#place({
          request: running.request,
          tries: 0,
          excluded: new Set([engine.id]),
          isRepeated: true,
        });
      }
    }
  }
}
