/** Routers that place requests at the endpoints of a plain service by late loads. */
import { chooseServiceEndpoint } from '@sesamegrade/core/endpoints/service-placement';
import { LateLoadsFleet } from './late-loads-fleet';
import type { LateLoadsOptions } from './late-loads-fleet';

export interface LateServiceOptions extends LateLoadsOptions {
  readonly slots: number;
  /** Mean time in ms for which a request runs. */
  readonly work: number;
}

export class LateServiceFleet extends LateLoadsFleet {
  readonly #options: LateServiceOptions;
  readonly #freeAt: number[][];

  constructor(options: LateServiceOptions) {
    super(options);
    this.#options = options;
    this.#freeAt = this.ids.map(() =>
      Array.from({ length: options.slots }, () => 0),
    );
  }

  protected override place(
    router: number,
    now: number,
  ): { readonly endpoint: number; readonly duration: number } {
    const { slots, work } = this.#options;
    const id = chooseServiceEndpoint(
      this.ids.map((id, at) => ({
        id,
        own: this.view.own(router, at),
        others: this.view.others(router, at),
        slots,
        near: at % this.ids.length === router % this.ids.length,
        speed: 1,
      })),
      this.unseen(router),
      () => this.random.fraction(),
    );
    const endpoint = this.ids.findIndex(other => other === id);
    const free = this.#freeAt[endpoint] ?? [];
    const slot = free.indexOf(Math.min(...free));
    const end =
      Math.max(now, free[slot] ?? now) + work * (0.5 + this.random.fraction());
    free[slot] = end;
    return { endpoint, duration: end - now };
  }
}
