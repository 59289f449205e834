/** Schedules the churn of a simulation: engines leave, join and flap, and a zone is lost. */
import { Random } from '@sesamegrade/core/random/random';
import type { SimulatedEngine } from './simulated-engine';
import type { EventQueue } from './event-queue';
import type { EngineFleet } from './engine-fleet';
import type { SimulatedRouter } from './simulated-router';
import { CHURN_EVENTS, FLAP_SECONDS } from './scenario';
import type { ChurnEvent, PlacementScenario } from './scenario';

/** Maximum time until a router learns that an engine joined or left. */
const MAX_MEMBERSHIP_DELAY_SECONDS = 1;

/** Fraction of the engines that one churn event affects, but at least one engine. */
const CHURN_FRACTION = 0.02;

export class ChurnSchedule {
  readonly #scenario: PlacementScenario;
  readonly #queue: EventQueue;
  readonly #fleet: EngineFleet;
  readonly #routers: readonly SimulatedRouter[];
  readonly #onCrash: (engine: SimulatedEngine) => void;
  readonly #random: Random;

  constructor(
    scenario: PlacementScenario,
    queue: EventQueue,
    fleet: EngineFleet,
    routers: readonly SimulatedRouter[],
    onCrash: (engine: SimulatedEngine) => void,
  ) {
    this.#scenario = scenario;
    this.#queue = queue;
    this.#fleet = fleet;
    this.#routers = routers;
    this.#onCrash = onCrash;
    this.#random = new Random(scenario.seed + 3);
  }

  schedule(): void {
    const { warmUpSeconds, seconds, engines } = this.#scenario;
    const count = Math.max(1, Math.round(CHURN_FRACTION * engines));
    for (const event of CHURN_EVENTS) {
      const at = warmUpSeconds + event.at * seconds;
      this.#queue.add(at, () => {
        this.#apply(event, count, at);
      });
    }
  }

  #apply({ kind }: ChurnEvent, count: number, now: number): void {
    switch (kind) {
      case 'leave':
        this.#repeat(count, () => {
          this.#leave(now);
        });
        break;
      case 'join':
        this.#repeat(count, () => {
          this.#announce(this.#fleet.join(now), now);
        });
        break;
      case 'flap':
        this.#repeat(count, () => {
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

  #repeat(count: number, action: () => void): void {
    for (let index = 0; index < count; index += 1) {
      action();
    }
  }

  /** Removes an engine that still finishes its running requests. */
  #leave(now: number): void {
    const engine = this.#fleet.pickRandom();
    this.#fleet.stop(engine);
    this.#withdraw(engine, now);
  }

  #flap(now: number): void {
    const engine = this.#fleet.pickRandom();
    this.#fleet.stop(engine);
    this.#crash(engine, now);
    const rejoinAt = now + FLAP_SECONDS;
    this.#queue.add(rejoinAt, () => {
      this.#announce(this.#fleet.rejoin(engine, rejoinAt), rejoinAt);
    });
  }

  #crash(engine: SimulatedEngine, now: number): void {
    this.#withdraw(engine, now);
    this.#onCrash(engine);
  }

  /** Adds an engine to each router, after a random delay of its own. */
  #announce(engine: SimulatedEngine, now: number): void {
    for (const router of this.#routers) {
      this.#queue.add(
        now + MAX_MEMBERSHIP_DELAY_SECONDS * this.#random.fraction(),
        () => {
          router.add(engine);
        },
      );
    }
  }

  #withdraw(engine: SimulatedEngine, now: number): void {
    for (const router of this.#routers) {
      this.#queue.add(
        now + MAX_MEMBERSHIP_DELAY_SECONDS * this.#random.fraction(),
        () => {
          router.remove(engine);
        },
      );
    }
  }
}
