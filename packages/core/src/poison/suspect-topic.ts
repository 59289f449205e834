/** Gossip topic for suspects and trials; it ranks before less urgent topics. */
import { GossipTopic } from '../gossip/gossip-topic';
import type { RouterId } from '../types/ids';
import type { Bytes, Instant } from '../types/units';
import { parseSuspectMessage } from './suspect-message';
import type { SuspectRegistry } from './suspect-registry';

export class SuspectTopic extends GossipTopic {
  readonly name = 'suspects';
  readonly rank = 5;
  readonly #registry: SuspectRegistry;

  constructor(registry: SuspectRegistry) {
    super();
    this.#registry = registry;
  }

  override take(
    peer: RouterId,
    budget: Bytes,
    now: Instant,
  ): readonly unknown[] {
    let used = '[]'.length;
    return this.#registry.take(
      peer,
      message => {
        used += JSON.stringify(message).length + 1;
        return used <= budget;
      },
      now,
    );
  }

  override receive(
    peer: RouterId,
    entries: readonly unknown[],
    now: Instant,
  ): number {
    let malformed = 0;
    for (const entry of entries) {
      const message = parseSuspectMessage(entry);
      if (message) {
        this.#registry.receive(peer, message, now);
      } else {
        malformed += 1;
      }
    }
    return malformed;
  }

  override forget(peer: RouterId): void {
    this.#registry.forget(peer);
  }
}
