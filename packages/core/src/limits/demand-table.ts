/** Demand of every router per pool and team, as far as this router has received it. */
import type { RouterId, TeamId } from '../types/ids';
import { elapsed, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { DemandMeter } from './demand-meter';
import type { PoolId } from './pool';

/** Time after which a peer's demand expires unless the peer refreshes it. */
export const PEER_DEMAND_TTL: Milliseconds = seconds(15);
/** Maximum number of pool and team pairs stored per peer. */
const MAX_DEMANDS_PER_PEER = 4096;

interface PeerDemand {
  readonly pool: PoolId;
  readonly team: TeamId;
  readonly slots: number;
  readonly at: Instant;
}

/** Combines this router's measured demand with the demand that peers reported, which expires. */
export class DemandTable {
  readonly #meters = new Map<PoolId, DemandMeter>();
  readonly #peers = new Map<RouterId, Map<string, PeerDemand>>();

  /** Returns the meter of this router's own demand for a pool. */
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

  /** Replaces one demand of a peer; returns false when the peer has reached its maximum number. */
  put(peer: RouterId, demand: PeerDemand): boolean {
    const peerDemands = this.#peers.get(peer) ?? new Map<string, PeerDemand>();
    this.#peers.set(peer, peerDemands);
    const key = `${demand.pool}\n${demand.team}`;
    if (demand.slots <= 0) {
      peerDemands.delete(key);
      return true;
    }
    if (peerDemands.size >= MAX_DEMANDS_PER_PEER && !peerDemands.has(key)) {
      return false;
    }
    peerDemands.set(key, demand);
    return true;
  }

  forget(peer: RouterId): void {
    this.#peers.delete(peer);
  }

  /**
   * Demand of each team for a pool, in slots: this router's plus the unexpired
   * demand of its peers.
   */
  totals(pool: PoolId, now: Instant): Map<TeamId, number> {
    const totals = this.meter(pool).demands(now);
    for (const peerDemands of this.#peers.values()) {
      for (const [key, demand] of peerDemands) {
        if (elapsed(demand.at, now) > PEER_DEMAND_TTL) {
          peerDemands.delete(key);
        } else if (demand.pool === pool) {
          const sum = (totals.get(demand.team) ?? 0) + demand.slots;
          totals.set(demand.team, sum);
        }
      }
    }
    return totals;
  }
}
