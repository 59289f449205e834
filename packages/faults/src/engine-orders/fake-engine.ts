/** An engine that takes absolute orders, as a fake that keeps what arrived. */
import type { EngineOrder } from '@sesamegrade/core/engine-orders/engine-state';
import type { EndpointId } from '@sesamegrade/core/types/ids';
import { fencingNumber, modelId } from '@sesamegrade/core/types/ids';
import type { Instant } from '@sesamegrade/core/types/units';
import { addTime, seconds } from '@sesamegrade/core/types/units';

const LOAD_TIME = seconds(4);

export class FakeEngine {
  readonly id: EndpointId;
  readonly #checksFence: boolean;
  #held: Omit<EngineOrder, 'fence' | 'lease'>;
  #highestFence = fencingNumber(0);
  #loadingUntil = 0;
  /** The engine answers nothing before this. */
  downUntil = 0;

  constructor(id: EndpointId, checksFence: boolean) {
    this.id = id;
    this.#checksFence = checksFence;
    this.#held = emptyState();
  }

  get state(): Omit<EngineOrder, 'fence' | 'lease'> {
    return this.#held;
  }

  /** Takes an order; returns false when its number is refused. */
  receive(order: EngineOrder, now: Instant): boolean {
    if (this.#checksFence && order.fence < this.#highestFence) {
      return false;
    }
    const { model, version, adapters, role } = order;
    if (model !== this.#held.model || version !== this.#held.version) {
      this.#loadingUntil = addTime(now, LOAD_TIME);
    }
    this.#held = { model, version, adapters, role };
    if (order.fence > this.#highestFence) {
      this.#highestFence = order.fence;
    }
    return true;
  }

  report(now: Instant): unknown {
    return {
      ...this.#held,
      highestFence: this.#highestFence,
      loading: now < this.#loadingUntil,
    };
  }

  /** Loses everything and is away for a while. */
  crash(until: Instant): void {
    this.#held = emptyState();
    this.#highestFence = fencingNumber(0);
    this.downUntil = until;
  }
}

function emptyState(): Omit<EngineOrder, 'fence' | 'lease'> {
  return { model: modelId('default'), version: '', adapters: [], role: '' };
}
