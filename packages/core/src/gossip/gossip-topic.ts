/** One kind of knowledge that routers tell each other. */
import type { RouterId } from '../types/ids';
import type { Bytes, Instant } from '../types/units';

/**
 * A topic keeps what each peer has not been told yet and gives out as much as
 * fits. Entries are JSON values; a receiver validates them before use.
 */
export abstract class GossipTopic {
  /** Short name that carries the topic in a message. */
  abstract readonly name: string;
  /** Order in which topics share the byte budget; the lowest goes first. */
  abstract readonly rank: number;

  /** Takes entries for a peer whose JSON text is within the budget. */
  abstract take(
    peer: RouterId,
    budget: Bytes,
    now: Instant,
  ): readonly unknown[];

  /** Merges entries from a peer and returns how many were refused as malformed. */
  abstract receive(
    peer: RouterId,
    entries: readonly unknown[],
    now: Instant,
  ): number;

  /** Drops what is kept for a peer that left. */
  abstract forget(peer: RouterId): void;

  /** Peers that should be told something soon; the others take their turn. */
  urgentPeers(): readonly RouterId[] {
    return [];
  }
}
