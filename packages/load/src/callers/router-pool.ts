/** Spreads callers over the routers, as the platform's balancer does. */
import { Agent } from 'undici';

import type { Random } from '@sesamegrade/core/random/random';

const CONNECT_TIMEOUT_MS = 2000;

export class RouterPool {
  readonly agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } });
  readonly #routers: readonly string[];
  readonly #random: Random;

  /** @param routers base URLs; at least one */
  constructor(routers: readonly string[], random: Random) {
    this.#routers = routers;
    this.#random = random;
  }

  /** Returns a router, another one than the last where there is any. */
  pick(last?: string): string {
    const others = this.#routers.filter(router => router !== last);
    return this.#random.pick(others.length > 0 ? others : this.#routers);
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
