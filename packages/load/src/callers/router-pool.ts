/** Distributes callers over the routers at random, as the platform's load balancer does. */
import { Agent } from 'undici';

import type { Random } from '@sesamegrade/core/random/random';

const CONNECT_TIMEOUT_MS = 2000;
/** Time for which a router that accepted no connection gets no requests. */
const AVOID_ROUTER_MS = 2000;
const UNSENT_ERROR_CODES = ['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'];

export class RouterPool {
  readonly agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } });
  readonly #routers: readonly string[];
  readonly #random: Random;
  readonly #avoidedUntil = new Map<string, number>();

  /** @param routers base URLs; at least one */
  constructor(routers: readonly string[], random: Random) {
    this.#routers = routers;
    this.#random = random;
  }

  /** Returns a random router, if possible a healthy one other than the last. */
  pick(last?: string): string {
    const now = performance.now();
    const healthy = this.#routers.filter(
      router => (this.#avoidedUntil.get(router) ?? 0) <= now,
    );
    const others = healthy.filter(router => router !== last);
    const choices = [others, healthy, this.#routers];
    return this.#random.pick(choices.find(list => list.length > 0) ?? []);
  }

  /** Prefers other routers for `AVOID_ROUTER_MS`. */
  avoid(router: string): void {
    this.#avoidedUntil.set(router, performance.now() + AVOID_ROUTER_MS);
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}

/** Whether an error proves that no byte of the request was sent. */
export function wasUnsent(error: unknown): boolean {
  return (
    error instanceof Error &&
    'code' in error &&
    UNSENT_ERROR_CODES.includes(String(error.code))
  );
}
