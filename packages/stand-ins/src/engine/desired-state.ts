/** Absolute orders to an engine, with or without a check of the fencing number. */
import { z } from 'zod';

export const engineOrderSchema = z.object({
  fence: z.number().int().nonnegative(),
  lease: z.string(),
  model: z.string().min(1),
  version: z.string(),
  adapters: z.array(z.string()),
  role: z.string(),
});

export type EngineOrderBody = z.infer<typeof engineOrderSchema>;

/** One order as it arrived. */
export interface OrderRecord {
  readonly order: EngineOrderBody;
  readonly accepted: boolean;
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
}

/** What `GET /desired` answers. */
export interface DesiredReport extends EngineOrderBody {
  /** The highest fencing number that any order carried. */
  readonly highestFence: number;
  /** Whether the weights are still being loaded. */
  readonly loading: boolean;
}

export class DesiredState {
  readonly #checksFence: boolean;
  readonly #orders: OrderRecord[] = [];
  #held: EngineOrderBody;
  #highestFence = 0;
  loading = false;

  constructor(checksFence: boolean, model: string) {
    this.#checksFence = checksFence;
    this.#held = {
      fence: 0,
      lease: '',
      model,
      version: '',
      adapters: [],
      role: '',
    };
  }

  /** Names that the engine serves when the held order is in effect. */
  get models(): readonly string[] {
    return [this.#held.model, ...this.#held.adapters];
  }

  /** Name of the weights in the weight store. */
  get weights(): string {
    return `${this.#held.model}@${this.#held.version}`;
  }

  /** Every order that arrived, the oldest first. */
  orders(): readonly OrderRecord[] {
    return this.#orders;
  }

  /** Takes the order over; returns false when its fencing number is too low. */
  apply(order: EngineOrderBody, at: number): boolean {
    const accepted = !this.#checksFence || order.fence >= this.#highestFence;
    this.#orders.push({ order, accepted, at });
    this.#highestFence = Math.max(this.#highestFence, order.fence);
    if (accepted) {
      this.#held = order;
    }
    return accepted;
  }

  report(): DesiredReport {
    return {
      ...this.#held,
      highestFence: this.#highestFence,
      loading: this.loading,
    };
  }
}
