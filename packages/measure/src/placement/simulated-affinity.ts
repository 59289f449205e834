/** Who remembers the last place of a chat in a measurement. */
import murmurhash from 'murmurhash';

import type { ChatId, EndpointId } from '@sesamegrade/core/types/ids';
import type { ByteMeter } from './meters';
import type { SimulatedRouter } from './simulated-router';
import {
  LOAD_CHECK_RESPONSE_BYTES,
  MESSAGE_OVERHEAD_BYTES,
  AFFINITY_HEADERS_BYTES,
  LOAD_CHECK_REQUEST_BYTES,
} from './wire-sizes';
import type { ChatRequest } from './workload';

/**
 * Callers that echo name the last place themselves. For the others, the router
 * to which the chat hashes is asked, and told when the place changes.
 */
export class SimulatedAffinity {
  readonly #routers: readonly SimulatedRouter[];
  readonly #bytes: ByteMeter;
  readonly #echoed = new Map<ChatId, EndpointId>();

  constructor(routers: readonly SimulatedRouter[], meter: ByteMeter) {
    this.#routers = routers;
    this.#bytes = meter;
  }

  resolve(
    request: ChatRequest,
    router: SimulatedRouter,
  ): EndpointId | undefined {
    const { chat, echoes } = request;
    const known = (endpoint: EndpointId) => router.hasEngine(endpoint);
    if (echoes) {
      return router.affinity.resolve(chat, this.#echoed.get(chat), known);
    }
    const home = this.#homeOf(chat);
    if (home !== request.router) {
      this.#bytes.add(
        request.router,
        MESSAGE_OVERHEAD_BYTES + LOAD_CHECK_REQUEST_BYTES,
      );
      this.#bytes.add(home, LOAD_CHECK_RESPONSE_BYTES);
    }
    return this.#routers[home]?.affinity.resolve(chat, undefined, known);
  }

  record(
    request: ChatRequest,
    router: SimulatedRouter,
    endpoint: EndpointId,
  ): void {
    const { chat, echoes } = request;
    if (echoes) {
      this.#bytes.add(request.router, AFFINITY_HEADERS_BYTES);
      this.#echoed.set(chat, endpoint);
      router.affinity.record(chat, endpoint);
      return;
    }
    const home = this.#homeOf(chat);
    const places = this.#routers[home]?.affinity;
    const before = places?.resolve(chat, undefined, () => true);
    if (before !== endpoint && home !== request.router) {
      this.#bytes.add(
        request.router,
        MESSAGE_OVERHEAD_BYTES + LOAD_CHECK_REQUEST_BYTES,
      );
    }
    places?.record(chat, endpoint);
  }

  #homeOf(chat: ChatId): number {
    return murmurhash.v3(chat) % this.#routers.length;
  }
}
