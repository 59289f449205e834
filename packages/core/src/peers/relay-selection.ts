/**
 * Chooses the few routers that pass on news, alike on every router that knows
 * the same ones: a mesh of all would cost each router a message per peer.
 */
import { rankMembers } from '../hashing/rendezvous';
import type { RouterId } from '../types/ids';

/** A router that may pass on news. */
export interface RelayCandidate {
  readonly id: RouterId;
  /** Cores' worth of processor time that its VM has. */
  readonly power: number;
}

/** Relays that a router hears at the same time; one may be gone unnoticed for a second. */
const HEARD_RELAYS = 2;
/** Routers tried at once that are not heard yet; so many rarely are down together. */
const MAX_UNHEARD = 6;
const RELAY_KEY = 'relay';

export interface RelaySelectionOptions {
  readonly self: RouterId;
  /** All routers that are known, this one included. */
  readonly known: readonly RelayCandidate[];
  /** Routers that this one hears now. */
  readonly connected: ReadonlySet<RouterId>;
}

export interface RelaySelection {
  /** Routers to connect to: down the ranks until enough of them are heard. */
  readonly links: readonly RouterId[];
  /** Whether others may hear of the fleet through this router. */
  readonly isRelay: boolean;
}

export function selectRelays({
  self,
  known,
  connected,
}: RelaySelectionOptions): RelaySelection {
  const links: RouterId[] = [];
  let heard = 0;
  let unheard = 0;
  let isRelay = false;
  for (const router of rankCandidates(known)) {
    if (heard >= HEARD_RELAYS || unheard >= MAX_UNHEARD) {
      break;
    }
    if (router === self) {
      isRelay = true;
      heard += 1;
      continue;
    }
    links.push(router);
    if (connected.has(router)) {
      heard += 1;
    } else {
      unheard += 1;
    }
  }
  return { links, isRelay };
}

/** The strongest first, as a relay sends to every router; among equals by rendezvous hashing. */
function rankCandidates(known: readonly RelayCandidate[]): RouterId[] {
  const powers = new Map(known.map(({ id, power }) => [id, power]));
  const power = (id: RouterId) => powers.get(id) ?? 0;
  // The sort is stable, so that equals keep the order of their hashes.
  return rankMembers(
    RELAY_KEY,
    known.map(({ id }) => id),
  ).sort((left, right) => power(right) - power(left));
}
