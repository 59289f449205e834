/** Every router's demand per pool and team, as this router knows it. */
import type { RouterId, TeamId } from '../types/ids';
import { elapsed, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { DemandMeter } from './demand-meter';
import type { PoolId } from './pool';

/** How long a peer's word counts when nothing newer comes. */
export const PEER_DEMAND_TTL: Milliseconds = seconds(15);
/** Pool and team pairs kept per peer. */
const maxDemandsPerPeer = 4096;

interface PeerDemand {
  readonly pool: PoolId;
  readonly team: TeamId;
  readonly slots: number;
  readonly at: Instant;
}

/** Own demand by measurement and peers' demand by their word, which expires. */
export class DemandTable {
  readonly #meters = new Map<PoolId, DemandMeter>();
  readonly #peers = new Map<RouterId, Map<string, PeerDemand>>();

  /** The meter of a pool's own demand. */
  meter(pool: PoolId): DemandMeter {
    let meter = this.#meters.get(pool);
    if (!meter) {
      meter = new DemandMeter();
      this.#meters.set(pool, meter);
    }
    return meter;
  }

  pools(): Iterable<PoolId> {
    return this.#meters.keys();
  }

  /** Replaces a peer's demand; returns false when too many are kept for it. */
  put(peer: RouterId, demand: PeerDemand): boolean {
    const known = this.#peers.get(peer) ?? new Map<string, PeerDemand>();
    this.#peers.set(peer, known);
    const key = `${demand.pool}\n${demand.team}`;
    if (demand.slots <= 0) {
      known.delete(key);
      return true;
    }
    if (known.size >= maxDemandsPerPeer && !known.has(key)) {
      return false;
    }
    known.set(key, demand);
    return true;
  }

  forget(peer: RouterId): void {
    this.#peers.delete(peer);
  }

  /** Sum of own and unexpired peers' demand of each team for a pool. */
  totals(pool: PoolId, now: Instant): Map<TeamId, number> {
    const totals = this.meter(pool).demands(now);
    for (const known of this.#peers.values()) {
      for (const [key, demand] of known) {
        if (elapsed(demand.at, now) > PEER_DEMAND_TTL) {
          known.delete(key);
        } else if (demand.pool === pool) {
          const sum = (totals.get(demand.team) ?? 0) + demand.slots;
          totals.set(demand.team, sum);
        }
      }
    }
    return totals;
  }
}
