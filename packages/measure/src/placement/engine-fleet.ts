/** The engines of a measurement and what happens to them. */
import { Random } from '@sesamegrade/core/random/random';
import { endpointId, zoneId } from '@sesamegrade/core/types/ids';
import type { ZoneId } from '@sesamegrade/core/types/ids';
import { SimulatedEngine } from './simulated-engine';
import type { Scenario } from './scenario';

/** Engines of the start joined this long before it, in seconds. */
const longAgo = 1000;

export class EngineFleet {
  readonly #scenario: Scenario;
  readonly #random: Random;
  #engines: SimulatedEngine[] = [];
  #lost: SimulatedEngine[] = [];
  #made = 0;

  constructor(scenario: Scenario) {
    this.#scenario = scenario;
    this.#random = new Random(scenario.seed + 1);
    for (let index = 0; index < scenario.engines; index += 1) {
      this.join(-longAgo);
    }
  }

  get live(): readonly SimulatedEngine[] {
    return this.#engines;
  }

  /** Adds an engine with an empty cache. */
  join(now: number): SimulatedEngine {
    const zone = zoneId(`zone-${this.#made % this.#scenario.zones}`);
    this.#made += 1;
    return this.#add(`engine-${this.#made}`, zone, now);
  }

  /** Brings back an engine that stopped, under its id and with an empty cache. */
  rejoin(engine: SimulatedEngine, now: number): SimulatedEngine {
    return this.#add(engine.id, engine.zone, now);
  }

  pickRandom(): SimulatedEngine {
    return this.#random.pick(this.#engines);
  }

  stop(engine: SimulatedEngine): void {
    engine.stop();
    this.#engines = this.#engines.filter(entry => entry !== engine);
  }

  /** Stops every engine of the first zone and returns them. */
  failZone(): SimulatedEngine[] {
    this.#lost = this.#engines.filter(({ zone }) => zone === 'zone-0');
    for (const engine of this.#lost) {
      this.stop(engine);
    }
    return this.#lost;
  }

  /** Brings back the engines of the lost zone. */
  restoreZone(now: number): SimulatedEngine[] {
    const lost = this.#lost;
    this.#lost = [];
    return lost.map(engine => this.rejoin(engine, now));
  }

  #add(id: string, zone: ZoneId, now: number): SimulatedEngine {
    const { capacity, keptContexts } = this.#scenario;
    const engine = new SimulatedEngine(
      endpointId(id),
      zone,
      capacity,
      keptContexts,
      now,
    );
    this.#engines = [...this.#engines, engine];
    return engine;
  }
}
