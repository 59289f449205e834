/**
 * Selects the few routers that relay updates; all routers with the same view
 * select the same ones. Without relays, a full mesh would cost each router one
 * message per peer.
 */
import { rankMembers } from '../hashing/rendezvous';
import type { RouterId } from '../types/ids';

/** A router that may become a relay. */
export interface RelayCandidate {
  readonly id: RouterId;
  /** CPU time that its VM has, in cores. */
  readonly power: number;
}

/**
 * Relays that a router is connected to at the same time; two, as the loss of
 * one may stay unnoticed for a second.
 */
const CONNECTED_RELAYS = 2;
/**
 * Routers without a connection yet that are tried at once; this many are rarely
 * down together.
 */
const MAX_CONNECTING = 6;
const RELAY_KEY = 'relay';

export interface RelaySelectionOptions {
  readonly self: RouterId;
  /** All known routers, including this one. */
  readonly known: readonly RelayCandidate[];
  /** Routers with a connection to this one. */
  readonly connected: ReadonlySet<RouterId>;
  /** Whether another router receives updates from this one; assumed if absent. */
  readonly hasSubscribers?: boolean;
}

export interface RelaySelection {
  /** The relays that are connected, this router included, the first one first. */
  readonly relays: readonly RouterId[];
  /**
   * Routers to connect to: in rank order until enough of them are connected.
   */
  readonly links: readonly RouterId[];
  /** Whether other routers may receive updates through this one. */
  readonly isRelay: boolean;
  /** Whether this router is the first connected relay, which reads the store for the fleet. */
  readonly isReader: boolean;
}

export function selectRelays({
  self,
  known,
  connected,
  hasSubscribers = true,
}: RelaySelectionOptions): RelaySelection {
  const links: RouterId[] = [];
  const relays: RouterId[] = [];
  let connectedCount = 0;
  let connectingCount = 0;
  let isRelay = false;
  let isReader = false;
  for (const router of rankCandidates(known)) {
    if (
      connectedCount >= CONNECTED_RELAYS ||
      connectingCount >= MAX_CONNECTING
    ) {
      break;
    }
    if (router === self) {
      isRelay = true;
      // While it joins, each router is the first one that it is connected to.
      isReader = connectedCount === 0 && (hasSubscribers || known.length === 1);
      relays.push(router);
      connectedCount += 1;
      continue;
    }
    links.push(router);
    if (connected.has(router)) {
      relays.push(router);
      connectedCount += 1;
    } else {
      connectingCount += 1;
    }
  }
  return { relays, links, isRelay, isReader };
}

/**
 * Ranks the strongest VM first, as a relay sends to every router; equals are
 * ranked by rendezvous hashing.
 */
function rankCandidates(known: readonly RelayCandidate[]): RouterId[] {
  const powers = new Map(known.map(({ id, power }) => [id, power]));
  const power = (id: RouterId) => powers.get(id) ?? 0;
  // The sort is stable, so that equals keep the order of their hashes.
  return rankMembers(
    RELAY_KEY,
    known.map(({ id }) => id),
  ).sort((left, right) => power(right) - power(left));
}
