/** Directory of the other routers that a router knows. */
import type { RouterIdentity } from '../membership/router-table';
import type { RouterId } from '../types/ids';
import type { RelayCandidate } from './relay-selection';
import { elapsed, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Time without a connection after which a router is removed. */
const FORGET_AFTER: Milliseconds = seconds(60);
/**
 * Fleet size that a router assumes before it has read the list of routers. It
 * is above the 135 of the deployments, because routers share budgets by the
 * fleet size: too small a size would let the fleet retry too much.
 */
const ASSUMED_FLEET_SIZE = 150;

/** Power of a VM that announces none. */
const DEFAULT_POWER = 1;

interface Row {
  readonly identity: RouterIdentity;
  lastSeenAt: Instant;
}

export class RouterDirectory {
  readonly #rows = new Map<RouterId, Row>();
  #isListRead = false;

  /**
   * Number of known routers, including this one; an upper estimate until the
   * list is read.
   */
  get fleetSize(): number {
    const known = this.#rows.size + 1;
    return this.#isListRead ? known : Math.max(known, ASSUMED_FLEET_SIZE);
  }

  /** Whether the store's list of routers was read. */
  get isListRead(): boolean {
    return this.#isListRead;
  }

  get ids(): RouterId[] {
    return [...this.#rows.keys()];
  }

  get(id: RouterId): RouterIdentity | undefined {
    return this.#rows.get(id)?.identity;
  }

  /** Returns the routers that may become relays, without this one. */
  relayCandidates(): RelayCandidate[] {
    return [...this.#rows.values()].map(({ identity: { id, power } }) => ({
      id,
      power: power ?? DEFAULT_POWER,
    }));
  }

  /** Records that the store's list of routers was read. */
  markListRead(): void {
    this.#isListRead = true;
  }

  add(identity: RouterIdentity, now: Instant): void {
    this.#rows.set(identity.id, { identity, lastSeenAt: now });
  }

  /** Records that a router is connected now. */
  recordSeen(id: RouterId, now: Instant): void {
    const row = this.#rows.get(id);
    if (row) {
      row.lastSeenAt = now;
    }
  }

  /** Removes a router that has not been connected for too long. */
  removeIfUnreachable(id: RouterId, now: Instant): void {
    const row = this.#rows.get(id);
    if (row && elapsed(row.lastSeenAt, now) > FORGET_AFTER) {
      this.#rows.delete(id);
    }
  }
}
