/** An engine that runs requests until one of them crashes it. */
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
  #up = true;

  constructor(id: EndpointId) {
    this.id = id;
  }

  get isUp(): boolean {
    return this.#up;
  }

  get incarnation(): Incarnation {
    return incarnation(this.#incarnation);
  }

  get hasFreeSlot(): boolean {
    return this.#up && this.running.size < ENGINE_SLOTS;
  }

  /** Ends the process; returns what it was running. */
  crash(): AttemptId[] {
    const lost = [...this.running];
    this.running.clear();
    this.#up = false;
    return lost;
  }

  restart(): void {
    this.#incarnation += 1;
    this.#up = true;
  }
}
