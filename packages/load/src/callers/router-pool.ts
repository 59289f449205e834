/** Spreads callers over the routers, as the platform's balancer does. */
import { Agent } from 'undici';

import type { Random } from '@sesamegrade/core/random/random';

const CONNECT_TIMEOUT_MS = 2000;
/** Time in which no request goes to a router that took no connection. */
const AVOIDANCE_MS = 2000;
const UNSENT_CODES = ['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'];

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

  /** Returns a router, another one than the last where there is any. */
  pick(last?: string): string {
    const now = performance.now();
    const healthy = this.#routers.filter(
      router => (this.#avoidedUntil.get(router) ?? 0) <= now,
    );
    const others = healthy.filter(router => router !== last);
    const choices = [others, healthy, this.#routers];
    return this.#random.pick(choices.find(list => list.length > 0) ?? []);
  }

  /** Sends no request to a router for a while. */
  avoid(router: string): void {
    this.#avoidedUntil.set(router, performance.now() + AVOIDANCE_MS);
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}

/** Whether an error shows that no byte of a request was sent. */
export function wasUnsent(error: unknown): boolean {
  return (
    error instanceof Error &&
    'code' in error &&
    UNSENT_CODES.includes(String(error.code))
  );
}
