/** Schedules the coming and going of engines and routers. */
import { Random } from '@sesamegrade/core/random/random';
import type { EngineFake } from './engine-fake';
import type { EventQueue } from './event-queue';
import type { Fleet } from './fleet';
import type { RouterFake } from './router-fake';
import { disturbances, flapSeconds } from './scenario';
import type { Disturbance, Scenario } from './scenario';

/** Routers learn of an engine's coming and going within this time, in seconds. */
const membershipDelay = 1;

/** Part of the engines that one disturbance of a single engine takes in a large fleet. */
const disturbedPart = 0.02;

export class Disturbances {
  readonly #scenario: Scenario;
  readonly #queue: EventQueue;
  readonly #fleet: Fleet;
  readonly #routers: readonly RouterFake[];
  readonly #lose: (engine: EngineFake) => void;
  readonly #random: Random;

  constructor(
    scenario: Scenario,
    queue: EventQueue,
    fleet: Fleet,
    routers: readonly RouterFake[],
    lose: (engine: EngineFake) => void,
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
    for (const disturbance of disturbances) {
      const at = warmUpSeconds + disturbance.at * seconds;
      this.#queue.add(at, () => {
        this.#apply(disturbance, count, at);
      });
    }
  }

  #apply({ kind }: Disturbance, count: number, now: number): void {
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
        for (const engine of this.#fleet.loseZone()) {
          this.#crash(engine, now);
        }
        break;
      case 'zone-back':
        for (const engine of this.#fleet.regainZone(now)) {
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
    const engine = this.#fleet.pick();
    this.#fleet.stop(engine);
    this.#withdraw(engine, now);
  }

  #flap(now: number): void {
    const engine = this.#fleet.pick();
    this.#fleet.stop(engine);
    this.#crash(engine, now);
    const back = now + flapSeconds;
    this.#queue.add(back, () => {
      this.#announce(this.#fleet.rejoin(engine, back), back);
    });
  }

  #crash(engine: EngineFake, now: number): void {
    this.#withdraw(engine, now);
    this.#lose(engine);
  }

  /** Each router learns at its own time that an engine is there. */
  #announce(engine: EngineFake, now: number): void {
    for (const router of this.#routers) {
      this.#queue.add(now + membershipDelay * this.#random.fraction(), () => {
        router.add(engine);
      });
    }
  }

  #withdraw(engine: EngineFake, now: number): void {
    for (const router of this.#routers) {
      this.#queue.add(now + membershipDelay * this.#random.fraction(), () => {
        router.remove(engine);
      });
    }
  }
}
