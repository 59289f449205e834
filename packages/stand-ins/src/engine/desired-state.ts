/** The desired state of an engine, which orders set, with or without a check of the fencing number. */
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

/** An order that the engine received. */
export interface OrderRecord {
  readonly order: EngineOrderBody;
  readonly accepted: boolean;
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
}

/** Body of the response to `GET /desired`. */
export interface DesiredReport extends EngineOrderBody {
  /** Highest fencing number of any order that the engine received. */
  readonly highestFence: number;
  /** Whether the engine is loading weights. */
  readonly loading: boolean;
}

export class DesiredState {
  readonly #checksFence: boolean;
  readonly #orders: OrderRecord[] = [];
  #current: EngineOrderBody;
  #highestFence = 0;
  loading = false;

  constructor(checksFence: boolean, model: string) {
    this.#checksFence = checksFence;
    this.#current = {
      fence: 0,
      lease: '',
      model,
      version: '',
      adapters: [],
      role: '',
    };
  }

  /** Models and adapters to serve once the last accepted order is in effect. */
  get models(): readonly string[] {
    return [this.#current.model, ...this.#current.adapters];
  }

  /** Key of the weights in the weight store. */
  get weights(): string {
    return `${this.#current.model}@${this.#current.version}`;
  }

  /** Every order that the engine received, oldest first. */
  orders(): readonly OrderRecord[] {
    return this.#orders;
  }

  /**
   * Applies the order; returns false if fencing numbers are checked and the
   * order's is lower than the highest one received.
   * @param at milliseconds since the Unix epoch
   */
  apply(order: EngineOrderBody, at: number): boolean {
    const accepted = !this.#checksFence || order.fence >= this.#highestFence;
    this.#orders.push({ order, accepted, at });
    this.#highestFence = Math.max(this.#highestFence, order.fence);
    if (accepted) {
      this.#current = order;
    }
    return accepted;
  }

  report(): DesiredReport {
    return {
      ...this.#current,
      highestFence: this.#highestFence,
      loading: this.loading,
    };
  }
}
