/** Simulates an engine that runs requests until a poison request crashes it. */
import type {
  AttemptId,
  EndpointId,
  Incarnation,
} from '@sesamegrade/core/types/ids';
import { incarnation } from '@sesamegrade/core/types/ids';
import { ENGINE_SLOTS } from './scenario';

export class CrashingEngine {
  readonly id: EndpointId;
  readonly running = new Set<AttemptId>();
  #incarnation = 1;
  #isUp = true;

  constructor(id: EndpointId) {
    this.id = id;
  }

  get isUp(): boolean {
    return this.#isUp;
  }

  get incarnation(): Incarnation {
    return incarnation(this.#incarnation);
  }

  get hasFreeSlot(): boolean {
    return this.#isUp && this.running.size < ENGINE_SLOTS;
  }

  /** Crashes the engine and returns the attempts that it was running. */
  crash(): AttemptId[] {
    const lost = [...this.running];
    this.running.clear();
    this.#isUp = false;
    return lost;
  }

  restart(): void {
    this.#incarnation += 1;
    this.#isUp = true;
  }
}
