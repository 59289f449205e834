/** HTTP handlers for orders to the engine; loads the weights that an order requires. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { z } from 'zod';

import { readJson, sendJson } from '../http/http-stand-in';
import { DesiredState, engineOrderSchema } from './desired-state';
import type { EngineOrderBody } from './desired-state';
import { WeightLoader } from './weight-loader';

/** Called with the models and adapters that the engine serves from now on. */
export type ModelsListener = (models: readonly string[]) => void;

export class EngineOrderHandler {
  readonly #desired: DesiredState;
  readonly #loader: WeightLoader;
  readonly #onModels: ModelsListener;
  #stopped = false;

  constructor(
    checksFence: boolean,
    model: string,
    platform: string | undefined,
    onModels: ModelsListener,
  ) {
    this.#desired = new DesiredState(checksFence, model);
    this.#loader = new WeightLoader(platform);
    this.#onModels = onModels;
  }

  /** Abandons weight loads that wait for a slot. */
  stop(): void {
    this.#stopped = true;
  }

  /** `GET /control/orders` */
  sendOrders(response: ServerResponse): void {
    sendJson(response, 200, { orders: this.#desired.orders() });
  }

  /** `GET /desired` */
  sendReport(response: ServerResponse): void {
    sendJson(response, 200, this.#desired.report());
  }

  /** `PUT /desired` */
  async receive(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parsed = engineOrderSchema.safeParse(await readJson(request));
    if (!parsed.success) {
      const message = z.prettifyError(parsed.error);
      sendJson(response, 400, { error: { message } });
      return;
    }
    const accepted = this.#apply(parsed.data);
    sendJson(response, accepted ? 200 : 409, this.#desired.report());
  }

  #apply(order: EngineOrderBody): boolean {
    const previousWeights = this.#desired.weights;
    if (!this.#desired.apply(order, Date.now())) {
      return false;
    }
    if (this.#desired.weights !== previousWeights) {
      this.#loadWeights().catch((error: unknown) => {
        console.error(error);
      });
    } else if (!this.#desired.loading) {
      this.#onModels(this.#desired.models);
    }
    return true;
  }

  async #loadWeights(): Promise<void> {
    const { weights } = this.#desired;
    this.#desired.loading = true;
    const loaded = await this.#loader.load(
      weights,
      () => !this.#stopped && weights === this.#desired.weights,
    );
    if (loaded) {
      this.#desired.loading = false;
      this.#onModels(this.#desired.models);
    }
  }
}
