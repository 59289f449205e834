/** Who remembers the last place of a chat in a measurement. */
import murmurhash from 'murmurhash';

import type { ChatId, EndpointId } from '@sesamegrade/core/types/ids';
import type { ByteMeter } from './meters';
import type { RouterFake } from './router-fake';
import {
  answerSize,
  messageOverhead,
  placeHeadersSize,
  questionSize,
} from './wire-sizes';
import type { ChatRequest } from './workload';

/**
 * Callers that echo name the last place themselves. For the others, the router
 * to which the chat hashes is asked, and told when the place changes.
 */
export class PlaceMemory {
  readonly #routers: readonly RouterFake[];
  readonly #bytes: ByteMeter;
  readonly #echoed = new Map<ChatId, EndpointId>();

  constructor(routers: readonly RouterFake[], meter: ByteMeter) {
    this.#routers = routers;
    this.#bytes = meter;
  }

  recall(request: ChatRequest, router: RouterFake): EndpointId | undefined {
    const { chat, echoes } = request;
    const known = (endpoint: EndpointId) => router.knows(endpoint);
    if (echoes) {
      return router.places.resolve(chat, this.#echoed.get(chat), known);
    }
    const home = this.#homeOf(chat);
    if (home !== request.router) {
      this.#bytes.add(request.router, messageOverhead + questionSize);
      this.#bytes.add(home, answerSize);
    }
    return this.#routers[home]?.places.resolve(chat, undefined, known);
  }

  remember(
    request: ChatRequest,
    router: RouterFake,
    endpoint: EndpointId,
  ): void {
    const { chat, echoes } = request;
    if (echoes) {
      this.#bytes.add(request.router, placeHeadersSize);
      this.#echoed.set(chat, endpoint);
      router.places.record(chat, endpoint);
      return;
    }
    const home = this.#homeOf(chat);
    const places = this.#routers[home]?.places;
    const before = places?.resolve(chat, undefined, () => true);
    if (before !== endpoint && home !== request.router) {
      this.#bytes.add(request.router, messageOverhead + questionSize);
    }
    places?.record(chat, endpoint);
  }

  #homeOf(chat: ChatId): number {
    return murmurhash.v3(chat) % this.#routers.length;
  }
}
