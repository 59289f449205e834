/** Runs one way of placing on one workload; decisions are called directly. */
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
import type { Scenario } from './scenario';
import { LoadChecker } from './load-checker';
import type { PlacementVariant } from './placement-variant';
import { LOAD_HEADERS_BYTES, HEALTH_POLL_BYTES } from './wire-sizes';
import type { ChatRequest } from './workload';

const skewPeriod = 0.1;
const reportPeriod = 0.5;
const pollPeriod = 1;
/** Part of a request's time after which the headers of its answer arrive. */
const headersPart = 0.25;
/** A saturated request tries again after this time. */
const saturatedDelay = 0.2;
const maxTries = 10;

/** Time between two messages to a peer where every router tells all others. */
const meshPeriod = 0.5;

/** One request on its way to an engine. */
interface Trial {
  readonly request: ChatRequest;
  readonly tries: number;
  /** Engines that already refused it. */
  readonly excluded: ReadonlySet<EndpointId>;
  /** Whether the request ran before on an engine that stopped. */
  readonly repeated: boolean;
}

/** One request that an engine runs. */
interface Flight {
  readonly request: ChatRequest;
  readonly engine: SimulatedEngine;
  readonly router: SimulatedRouter;
  lost: boolean;
}

export class Simulation {
  readonly #scenario: Scenario;
  readonly #way: PlacementVariant;
  readonly #queue = new EventQueue();
  readonly #fleet: EngineFleet;
  readonly #routers: SimulatedRouter[];
  readonly #placement: Placement;
  readonly #memory: SimulatedAffinity;
  readonly #questions: LoadChecker;
  readonly #bytes: ByteMeter;
  readonly #skew: SkewMeter;
  readonly #errors = new ErrorMeter();
  readonly #keepers: LoadOwners;
  readonly #routerIds: readonly RouterId[];
  readonly #flights = new Set<Flight>();
  #now = 0;
  #requests = 0;
  #returning = 0;
  #reused = 0;
  #refused = 0;
  #decisions = 0;
  #decisionMs = 0;

  constructor(
    scenario: Scenario,
    way: PlacementVariant,
    given: LoadExchangeSettings,
  ) {
    const tuning = way.checksLoad
      ? given
      : { ...given, sendPeriod: meshPeriod };
    this.#scenario = scenario;
    this.#way = way;
    this.#fleet = new EngineFleet(scenario);
    this.#placement = way.placement(
      scenario.bound,
      new Random(scenario.seed + 2),
    );
    this.#bytes = new ByteMeter(scenario.routers);
    this.#skew = new SkewMeter(scenario.bound);
    this.#keepers = new LoadOwners(this.#sharing());
    this.#routerIds = Array.from({ length: scenario.routers }, (_, index) =>
      routerId(`router-${index}`),
    );
    this.#updateKeepers();
    this.#routers = this.#routerIds.map(id => this.#makeRouter(id, tuning));
    this.#memory = new SimulatedAffinity(this.#routers, this.#bytes);
    this.#questions = new LoadChecker(
      this.#routers,
      this.#bytes,
      scenario.bound,
    );
    if (way.loadSource === 'told') {
      new PeerTraffic(this.#routers, this.#queue, this.#bytes, tuning).start();
    }
  }

  run(workload: readonly ChatRequest[]): Measures {
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
        this.#questions.sentCount / Math.max(1, this.#requests),
      bytesPerRouterSecond: this.#bytes.meanPerSecond(seconds),
      bytesOfBusiestRouter: this.#bytes.highestPerSecond(seconds),
      estimateError: this.#errors.rootMeanSquare,
      decisionMicroseconds:
        (this.#decisionMs * 1000) / Math.max(1, this.#decisions),
    };
  }

  #makeRouter(id: RouterId, tuning: LoadExchangeSettings): SimulatedRouter {
    const { loadSource: knowledge } = this.#way;
    const router = new SimulatedRouter({
      id,
      loadSource: knowledge,
      lag: this.#scenario.lag,
      peerDelay: tuning.sendPeriod,
      averaging: tuning.averaging,
      averagingWithoutCounts: tuning.averagingWithoutCounts,
      reportDecay: tuning.reportDecay,
      routers: () => this.#routerIds,
      smallFleetOwners: this.#sharing(),
    });
    for (const engine of this.#fleet.live) {
      router.add(engine);
    }
    return router;
  }

  /** Follows the live engines, for the polls of their first keepers. */
  #updateKeepers(): void {
    this.#keepers.update(
      this.#routerIds,
      this.#fleet.live.map(({ id }) => id),
    );
  }

  #keeperOf(endpoint: EndpointId): RouterId | undefined {
    return this.#keepers.ownersOf(endpoint)[0];
  }

  #sharing(): number | undefined {
    return this.#way.checksLoad ? SMALL_FLEET_LOAD_OWNERS : undefined;
  }

  #schedule(): void {
    const { warmUpSeconds, churn } = this.#scenario;
    this.#queue.add(warmUpSeconds, () => {
      this.#bytes.clear();
    });
    this.#every(skewPeriod, warmUpSeconds, () => {
      this.#skew.sample(this.#fleet.live, skewPeriod);
    });
    this.#every(1, warmUpSeconds, () => {
      this.#sampleErrors();
      this.#updateKeepers();
    });
    if (this.#way.loadSource === 'own') {
      this.#every(reportPeriod, 0, () => {
        this.#reportToAll();
      });
    }
    if (this.#way.loadSource === 'told') {
      this.#every(pollPeriod, 0, () => {
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
          this.#loseFlights(engine);
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

  /** Every router hears the late report of every engine. */
  #reportToAll(): void {
    const observedAt = this.#now - this.#scenario.lag;
    for (const engine of this.#fleet.live) {
      const load = engine.loadAt(observedAt);
      for (const router of this.#routers) {
        router.applyReport(engine, load, observedAt, this.#now);
      }
    }
  }

  /** Each engine's first keeper polls it and hears a late load. */
  #poll(): void {
    const observedAt = this.#now - this.#scenario.lag;
    for (const engine of this.#fleet.live) {
      const first = this.#keeperOf(engine.id);
      const index = this.#routers.findIndex(({ id }) => id === first);
      this.#bytes.add(index, HEALTH_POLL_BYTES);
      const load = engine.loadAt(observedAt);
      this.#routers[index]?.applyReport(engine, load, observedAt, this.#now);
    }
  }

  #sampleErrors(): void {
    const router = this.#routers[Math.floor(this.#now) % this.#routers.length];
    for (const candidate of router?.candidates(this.#now, new Set()) ?? []) {
      const engine = router?.engine(candidate.id);
      if (engine?.isAlive) {
        this.#errors.add(candidate.load - engine.running);
      }
    }
  }

  #arriveNext(workload: readonly ChatRequest[], index: number): void {
    const request = workload[index];
    if (!request) {
      return;
    }
    this.#place({ request, tries: 0, excluded: new Set(), repeated: false });
    const next = workload[index + 1];
    if (next) {
      this.#queue.add(next.at, () => {
        this.#arriveNext(workload, index + 1);
      });
    }
  }

  #place(trial: Trial): void {
    const { request, excluded } = trial;
    const router = this.#routers[request.router];
    if (!router) {
      return;
    }
    const affinityEndpoint = this.#way.usesAffinity
      ? this.#memory.resolve(request, router)
      : undefined;
    const started = performance.now();
    const candidates = router.candidates(this.#now, excluded);
    const asked = { chat: request.chat, affinityEndpoint: affinityEndpoint };
    const choice = this.#way.checksLoad
      ? this.#questions.place(
          this.#placement,
          asked,
          router,
          candidates,
          this.#now,
        )
      : this.#placement.place(asked, candidates, toInstant(this.#now));
    this.#decisionMs += performance.now() - started;
    this.#decisions += 1;
    if (choice.kind !== 'endpoint') {
      this.#tryLater(trial);
      return;
    }
    const engine = router.engine(choice.endpoint);
    if (engine && this.#start(trial, router, engine)) {
      return;
    }
    this.#place({
      ...trial,
      tries: trial.tries + 1,
      excluded: new Set([...excluded, choice.endpoint]),
    });
  }

  #tryLater(trial: Trial): void {
    if (trial.tries >= maxTries) {
      this.#refused += 1;
      return;
    }
    const next = {
      ...trial,
      tries: trial.tries + 1,
      excluded: new Set<never>(),
    };
    this.#queue.add(this.#now + saturatedDelay, () => {
      this.#place(next);
    });
  }

  #start(
    trial: Trial,
    router: SimulatedRouter,
    engine: SimulatedEngine,
  ): boolean {
    const { request } = trial;
    const reused = engine.isAlive
      ? engine.start(request.chat, this.#now)
      : undefined;
    if (reused === undefined) {
      return false;
    }
    this.#count(trial, reused);
    router.onRequestStarted(engine, this.#now);
    this.#memory.record(request, router, engine.id);
    const flight = { request, engine, router, lost: false };
    this.#flights.add(flight);
    this.#follow(flight);
    return true;
  }

  #count({ request, repeated }: Trial, reused: boolean): void {
    if (repeated || request.at < this.#scenario.warmUpSeconds) {
      return;
    }
    this.#requests += 1;
    if (request.returning) {
      this.#returning += 1;
      this.#reused += reused ? 1 : 0;
    }
  }

  #follow(flight: Flight): void {
    const { request, engine, router } = flight;
    const headersAt = this.#now + headersPart * request.serviceSeconds;
    this.#queue.add(headersAt, () => {
      if (!flight.lost) {
        this.#bytes.add(request.router, LOAD_HEADERS_BYTES);
        router.applyReport(engine, engine.running, headersAt, headersAt);
      }
    });
    const endsAt = this.#now + request.serviceSeconds;
    this.#queue.add(endsAt, () => {
      if (!flight.lost) {
        this.#end(flight);
      }
    });
  }

  #end(flight: Flight): void {
    this.#flights.delete(flight);
    flight.engine.finish(this.#now);
    flight.router.onRequestEnded(flight.engine, this.#now);
  }

  /** Places again what an engine ran when it stopped. */
  #loseFlights(engine: SimulatedEngine): void {
    for (const flight of [...this.#flights]) {
      if (flight.engine === engine) {
        flight.lost = true;
        this.#end(flight);
        this.#place({
          request: flight.request,
          tries: 0,
          excluded: new Set([engine.id]),
          repeated: true,
        });
      }
    }
  }
}
