/** Simulates the session affinity of chats: which router knows the last endpoint of a chat. */
import murmurhash from 'murmurhash';

import type { ChatId, EndpointId } from '@sesamegrade/core/types/ids';
import type { ByteMeter } from './meters';
import type { SimulatedRouter } from './simulated-router';
import {
  QUERY_RESPONSE_BYTES,
  MESSAGE_OVERHEAD_BYTES,
  AFFINITY_HEADERS_BYTES,
  QUERY_BYTES,
} from './wire-sizes';
import type { WorkloadRequest } from './workload';

/**
 * Callers that echo the affinity headers name the last endpoint themselves. For
 * other callers, the chat's hash selects a router that stores the endpoint: it is
 * queried for each request and receives an update when the endpoint changes.
 */
export class SimulatedAffinity {
  readonly #routers: readonly SimulatedRouter[];
  readonly #bytes: ByteMeter;
  readonly #echoedEndpoints = new Map<ChatId, EndpointId>();

  constructor(routers: readonly SimulatedRouter[], meter: ByteMeter) {
    this.#routers = routers;
    this.#bytes = meter;
  }

  resolve(
    request: WorkloadRequest,
    router: SimulatedRouter,
  ): EndpointId | undefined {
    const { chat, echoes } = request;
    const isKnown = (endpoint: EndpointId) => router.hasEngine(endpoint);
    if (echoes) {
      return router.affinity.resolve(
        chat,
        this.#echoedEndpoints.get(chat),
        isKnown,
      );
    }
    const owner = this.#ownerOf(chat);
    if (owner !== request.router) {
      this.#bytes.add(request.router, MESSAGE_OVERHEAD_BYTES + QUERY_BYTES);
      this.#bytes.add(owner, QUERY_RESPONSE_BYTES);
    }
    return this.#routers[owner]?.affinity.resolve(chat, undefined, isKnown);
  }

  record(
    request: WorkloadRequest,
    router: SimulatedRouter,
    endpoint: EndpointId,
  ): void {
    const { chat, echoes } = request;
    if (echoes) {
      this.#bytes.add(request.router, AFFINITY_HEADERS_BYTES);
      this.#echoedEndpoints.set(chat, endpoint);
      router.affinity.record(chat, endpoint);
      return;
    }
    const owner = this.#ownerOf(chat);
    const affinity = this.#routers[owner]?.affinity;
    const previous = affinity?.resolve(chat, undefined, () => true);
    if (previous !== endpoint && owner !== request.router) {
      this.#bytes.add(request.router, MESSAGE_OVERHEAD_BYTES + QUERY_BYTES);
    }
    affinity?.record(chat, endpoint);
  }

  #ownerOf(chat: ChatId): number {
    return murmurhash.v3(chat) % this.#routers.length;
  }
}
