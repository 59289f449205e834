/**
 * Selects the router that owns the trials of a suspect, and decides when it may
 * grant them.
 */
import { topMember } from '../hashing/rendezvous';
import type { RouterId } from '../types/ids';
import { elapsed } from '../types/units';
import type { Instant } from '../types/units';
import { unclearedCrashes } from './suspect';
import type { Suspect } from './suspect';
import { TRIAL_TIMEOUT } from './trial-owner';

/** Former router sets that are retained. */
const MAX_FORMER_SETS = 16;

interface FormerRouterSet {
  readonly routers: readonly RouterId[];
  readonly endedAt: Instant;
}

export class TrialOwnerSelection {
  readonly #self: RouterId;
  #routers: readonly RouterId[];
  #formerSets: FormerRouterSet[] = [];
  #hasRouters = false;
  /**
   * Caches the owner of each row; a changed row is a new object, so an entry
   * cannot become outdated.
   */
  #owners = new WeakMap<Suspect, RouterId>();

  constructor(self: RouterId) {
    this.#self = self;
    this.#routers = [self];
  }

  /** The live routers, including this one. */
  get routers(): readonly RouterId[] {
    return this.#routers;
  }

  onRoutersChanged(routers: readonly RouterId[], now: Instant): void {
    const next = [...new Set([this.#self, ...routers])].sort();
    if (this.#hasRouters && next.join() === this.#routers.join()) {
      return;
    }
    // The routers that were live before this router joined are unknown.
    const before = this.#hasRouters ? this.#routers : [];
    this.#formerSets.push({ routers: before, endedAt: now });
    this.#formerSets = this.#formerSets.slice(-MAX_FORMER_SETS);
    this.#routers = next;
    this.#owners = new WeakMap();
    this.#hasRouters = true;
  }

  /**
   * Returns the owner of the suspect's trials; all suspects of one crash have
   * the same owner.
   */
  ownerOf(row: Suspect): RouterId | undefined {
    let owner = this.#owners.get(row);
    if (owner === undefined) {
      owner = selectOwner(row, this.#routers);
      if (owner !== undefined) {
        this.#owners.set(row, owner);
      }
    }
    return owner;
  }

  /**
   * True when this router owns the suspect's trials and any trial that a former
   * owner granted has expired.
   */
  canGrant(row: Suspect, now: Instant): boolean {
    if (this.ownerOf(row) !== this.#self) {
      return false;
    }
    return this.#formerSets.every(
      ({ routers, endedAt }) =>
        endedAt < row.seenAt ||
        elapsed(endedAt, now) >= TRIAL_TIMEOUT ||
        selectOwner(row, routers) === this.#self,
    );
  }
}

function selectOwner(
  row: Suspect,
  routers: readonly RouterId[],
): RouterId | undefined {
  const crash = unclearedCrashes(row)[0] ?? [...row.crashes].sort()[0];
  return crash === undefined ? undefined : topMember(crash, routers);
}
