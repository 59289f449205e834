/** Which router keeps the trials of a suspect, and from when on it may grant them. */
import { topMember } from '../hashing/rendezvous';
import type { RouterId } from '../types/ids';
import { elapsed } from '../types/units';
import type { Instant } from '../types/units';
import { unclearedCrashes } from './suspect';
import type { Suspect } from './suspect';
import { TRIAL_TIMEOUT } from './trial-owner';

/** Former sets of routers remembered at once. */
const maxFormerSets = 16;

interface FormerSet {
  readonly routers: readonly RouterId[];
  readonly endedAt: Instant;
}

export class TrialOwnerSelection {
  readonly #self: RouterId;
  #routers: readonly RouterId[];
  #former: FormerSet[] = [];
  #started = false;
  /** Rows are replaced when they change, so a row's keeper may be kept. */
  #chosen = new WeakMap<Suspect, RouterId>();

  constructor(self: RouterId) {
    this.#self = self;
    this.#routers = [self];
  }

  /** The live routers, this one included. */
  get routers(): readonly RouterId[] {
    return this.#routers;
  }

  onRoutersChanged(routers: readonly RouterId[], now: Instant): void {
    const next = [...new Set([this.#self, ...routers])].sort();
    if (this.#started && next.join() === this.#routers.join()) {
      return;
    }
    // What the fleet was before this router knew of it is unknown.
    const before = this.#started ? this.#routers : [];
    this.#former.push({ routers: before, endedAt: now });
    this.#former = this.#former.slice(-maxFormerSets);
    this.#routers = next;
    this.#chosen = new WeakMap();
    this.#started = true;
  }

  /** All suspects of one crash have the same keeper. */
  ownerOf(row: Suspect): RouterId | undefined {
    let keeper = this.#chosen.get(row);
    if (keeper === undefined) {
      keeper = choose(row, this.#routers);
      if (keeper !== undefined) {
        this.#chosen.set(row, keeper);
      }
    }
    return keeper;
  }

  /**
   * True when this router keeps the suspect's trials and any trial that
   * another router granted before has run out.
   */
  canGrant(row: Suspect, now: Instant): boolean {
    if (this.ownerOf(row) !== this.#self) {
      return false;
    }
    return this.#former.every(
      ({ routers, endedAt }) =>
        endedAt < row.seenAt ||
        elapsed(endedAt, now) >= TRIAL_TIMEOUT ||
        choose(row, routers) === this.#self,
    );
  }
}

function choose(
  row: Suspect,
  routers: readonly RouterId[],
): RouterId | undefined {
  const crash = unclearedCrashes(row)[0] ?? [...row.crashes].sort()[0];
  return crash === undefined ? undefined : topMember(crash, routers);
}
