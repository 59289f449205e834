/**
 * Base class of gossip topics. Each topic carries one kind of state between
 * routers.
 */
import type { RouterId } from '../types/ids';
import type { Bytes, Instant } from '../types/units';

/**
 * A topic tracks what must still be sent to each peer and returns as much as
 * fits. Entries are JSON values; the receiver validates them.
 */
export abstract class GossipTopic {
  /** Short name that identifies the topic in messages. */
  abstract readonly name: string;
  /** Order in which topics share the byte budget; the lowest goes first. */
  abstract readonly rank: number;

  /**
   * Removes and returns entries for a peer; their JSON text is within the
   * budget.
   */
  abstract take(
    peer: RouterId,
    budget: Bytes,
    now: Instant,
  ): readonly unknown[];

  /** Merges entries from a peer and returns how many were malformed. */
  abstract receive(
    peer: RouterId,
    entries: readonly unknown[],
    now: Instant,
  ): number;

  /** Drops the state about a peer that left. */
  abstract forget(peer: RouterId): void;

  /** Peers to visit first in the next round; the others are visited in turn. */
  urgentPeers(): readonly RouterId[] {
    return [];
  }
}
