/** Schedules the coming and going of engines and routers. */
import { Random } from '@sesamegrade/core/random/random';
import type { SimulatedEngine } from './simulated-engine';
import type { EventQueue } from './event-queue';
import type { EngineFleet } from './engine-fleet';
import type { SimulatedRouter } from './simulated-router';
import { CHURN_EVENTS, FLAP_SECONDS } from './scenario';
import type { ChurnEvent, Scenario } from './scenario';

/** Routers learn of an engine's coming and going within this time, in seconds. */
const membershipDelay = 1;

/** Part of the engines that one disturbance of a single engine takes in a large fleet. */
const disturbedPart = 0.02;

export class ChurnSchedule {
  readonly #scenario: Scenario;
  readonly #queue: EventQueue;
  readonly #fleet: EngineFleet;
  readonly #routers: readonly SimulatedRouter[];
  readonly #lose: (engine: SimulatedEngine) => void;
  readonly #random: Random;

  constructor(
    scenario: Scenario,
    queue: EventQueue,
    fleet: EngineFleet,
    routers: readonly SimulatedRouter[],
    lose: (engine: SimulatedEngine) => void,
  ) {
    this.#scenario = scenario;
    this.#queue = queue;
    this.#fleet = fleet;
    this.#routers = routers;
    this.#lose = lose;
    this.#random = new Random(scenario.seed + 3);
  }

  schedule(): void {
    const { warmUpSeconds, seconds, engines } = this.#scenario;
    const count = Math.max(1, Math.round(disturbedPart * engines));
    for (const disturbance of CHURN_EVENTS) {
      const at = warmUpSeconds + disturbance.at * seconds;
      this.#queue.add(at, () => {
        this.#apply(disturbance, count, at);
      });
    }
  }

  #apply({ kind }: ChurnEvent, count: number, now: number): void {
    switch (kind) {
      case 'leave':
        this.#times(count, () => {
          this.#leave(now);
        });
        break;
      case 'join':
        this.#times(count, () => {
          this.#announce(this.#fleet.join(now), now);
        });
        break;
      case 'flap':
        this.#times(count, () => {
          this.#flap(now);
        });
        break;
      case 'zone-lost':
        for (const engine of this.#fleet.failZone()) {
          this.#crash(engine, now);
        }
        break;
      case 'zone-back':
        for (const engine of this.#fleet.restoreZone(now)) {
          this.#announce(engine, now);
        }
        break;
    }
  }

  #times(count: number, action: () => void): void {
    for (let index = 0; index < count; index += 1) {
      action();
    }
  }

  /** Stops an engine that finishes what it runs. */
  #leave(now: number): void {
    const engine = this.#fleet.pickRandom();
    this.#fleet.stop(engine);
    this.#withdraw(engine, now);
  }

  #flap(now: number): void {
    const engine = this.#fleet.pickRandom();
    this.#fleet.stop(engine);
    this.#crash(engine, now);
    const back = now + FLAP_SECONDS;
    this.#queue.add(back, () => {
      this.#announce(this.#fleet.rejoin(engine, back), back);
    });
  }

  #crash(engine: SimulatedEngine, now: number): void {
    this.#withdraw(engine, now);
    this.#lose(engine);
  }

  /** Each router learns at its own time that an engine is there. */
  #announce(engine: SimulatedEngine, now: number): void {
    for (const router of this.#routers) {
      this.#queue.add(now + membershipDelay * this.#random.fraction(), () => {
        router.add(engine);
      });
    }
  }

  #withdraw(engine: SimulatedEngine, now: number): void {
    for (const router of this.#routers) {
      this.#queue.add(now + membershipDelay * this.#random.fraction(), () => {
        router.remove(engine);
      });
    }
  }
}
