/**
 * Simulated engine that accepts orders for a whole state, such as a model
 * version, and reports it.
 */
import type { EngineOrder } from '@sesamegrade/core/engine-orders/engine-state';
import type { EndpointId } from '@sesamegrade/core/types/ids';
import { fencingNumber, modelId } from '@sesamegrade/core/types/ids';
import type { Instant } from '@sesamegrade/core/types/units';
import { addTime, seconds } from '@sesamegrade/core/types/units';

const LOAD_TIME = seconds(4);

export class FakeEngine {
  readonly id: EndpointId;
  readonly #checksFence: boolean;
  #state: Omit<EngineOrder, 'fence' | 'lease'>;
  #highestFence = fencingNumber(0);
  #loadingUntil = 0;
  /** Time before which the engine does not respond. */
  downUntil = 0;

  constructor(id: EndpointId, checksFence: boolean) {
    this.id = id;
    this.#checksFence = checksFence;
    this.#state = initialState();
  }

  get state(): Omit<EngineOrder, 'fence' | 'lease'> {
    return this.#state;
  }

  /** Applies an order; returns false if its fencing number is refused. */
  receive(order: EngineOrder, now: Instant): boolean {
    if (this.#checksFence && order.fence < this.#highestFence) {
      return false;
    }
    const { model, version, adapters, role } = order;
    if (model !== this.#state.model || version !== this.#state.version) {
      this.#loadingUntil = addTime(now, LOAD_TIME);
    }
    this.#state = { model, version, adapters, role };
    if (order.fence > this.#highestFence) {
      this.#highestFence = order.fence;
    }
    return true;
  }

  report(now: Instant): unknown {
    return {
      ...this.#state,
      highestFence: this.#highestFence,
      loading: now < this.#loadingUntil,
    };
  }

  /**
   * Loses its state, including the highest fencing number, and stays down until
   * the given time.
   */
  crash(until: Instant): void {
    this.#state = initialState();
    this.#highestFence = fencingNumber(0);
    this.downUntil = until;
  }
}

function initialState(): Omit<EngineOrder, 'fence' | 'lease'> {
  return { model: modelId('default'), version: '', adapters: [], role: '' };
}
