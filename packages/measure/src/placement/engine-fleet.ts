/** The live engines of a simulation, with their arrivals and failures. */
import { Random } from '@sesamegrade/core/random/random';
import { endpointId, zoneId } from '@sesamegrade/core/types/ids';
import type { ZoneId } from '@sesamegrade/core/types/ids';
import { SimulatedEngine } from './simulated-engine';
import type { PlacementScenario } from './scenario';

/** Initial engines joined this long before the start, so that their join ramp is over. */
const INITIAL_AGE_SECONDS = 1000;

export class EngineFleet {
  readonly #scenario: PlacementScenario;
  readonly #random: Random;
  #engines: SimulatedEngine[] = [];
  #failedZone: SimulatedEngine[] = [];
  #createdCount = 0;

  constructor(scenario: PlacementScenario) {
    this.#scenario = scenario;
    this.#random = new Random(scenario.seed + 1);
    for (let index = 0; index < scenario.engines; index += 1) {
      this.join(-INITIAL_AGE_SECONDS);
    }
  }

  get live(): readonly SimulatedEngine[] {
    return this.#engines;
  }

  /** Adds an engine with an empty cache. */
  join(now: number): SimulatedEngine {
    const zone = zoneId(`zone-${this.#createdCount % this.#scenario.zones}`);
    this.#createdCount += 1;
    return this.#add(`engine-${this.#createdCount}`, zone, now);
  }

  /** Replaces a stopped engine by one with the same id and an empty cache. */
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

  /** Stops all engines of the first zone and returns them. */
  failZone(): SimulatedEngine[] {
    this.#failedZone = this.#engines.filter(({ zone }) => zone === 'zone-0');
    for (const engine of this.#failedZone) {
      this.stop(engine);
    }
    return this.#failedZone;
  }

  /** Brings back the engines of the failed zone. */
  restoreZone(now: number): SimulatedEngine[] {
    const failed = this.#failedZone;
    this.#failedZone = [];
    return failed.map(engine => this.rejoin(engine, now));
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
