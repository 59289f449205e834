/** The routers of the fleet, as far as one of them knows. */
import type { RouterIdentity } from '../membership/router-table';
import type { RouterId } from '../types/ids';
import type { RelayCandidate } from './relay-selection';
import { elapsed, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Time without a connection after which a router is forgotten. */
const FORGET_AFTER: Milliseconds = seconds(60);
/**
 * Routers that a router counts on before it has read the list: above the
 * deployments' 135, as too small a count would let the fleet repeat too much.
 */
const UNREAD_FLEET_SIZE = 150;

/** Power of a VM that does not say. */
const DEFAULT_POWER = 1;

interface Row {
  readonly identity: RouterIdentity;
  confirmedAt: Instant;
}

export class RouterDirectory {
  readonly #rows = new Map<RouterId, Row>();
  #isRead = false;

  /** Routers that may exist, this one included; an upper estimate before the list was read. */
  get fleetSize(): number {
    const known = this.#rows.size + 1;
    return this.#isRead ? known : Math.max(known, UNREAD_FLEET_SIZE);
  }

  /** Whether the store's list of routers was read. */
  get isListRead(): boolean {
    return this.#isRead;
  }

  get ids(): RouterId[] {
    return [...this.#rows.keys()];
  }

  get(id: RouterId): RouterIdentity | undefined {
    return this.#rows.get(id)?.identity;
  }

  /** The routers that may pass on news, this one left out. */
  relayCandidates(): RelayCandidate[] {
    return [...this.#rows.values()].map(({ identity: { id, power } }) => ({
      id,
      power: power ?? DEFAULT_POWER,
    }));
  }

  /** Notes that the store's list of routers was read. */
  markListRead(): void {
    this.#isRead = true;
  }

  add(identity: RouterIdentity, now: Instant): void {
    this.#rows.set(identity.id, { identity, confirmedAt: now });
  }

  /** Notes that a router was heard. */
  confirm(id: RouterId, now: Instant): void {
    const row = this.#rows.get(id);
    if (row) {
      row.confirmedAt = now;
    }
  }

  /** Forgets a router that was tried for long and never answered. */
  removeIfUnreachable(id: RouterId, now: Instant): void {
    const row = this.#rows.get(id);
    if (row && elapsed(row.confirmedAt, now) > FORGET_AFTER) {
      this.#rows.delete(id);
    }
  }
}
