/** Which router holds a shared duty, by rendezvous hashing over live routers. */
import { topMember } from '../hashing/rendezvous';
import type { RouterTable } from '../membership/router-table';
import type { RouterId } from '../types/ids';
import type { Instant } from '../types/units';

export interface DutyRosterOptions {
  readonly routers: RouterTable;
  readonly now: () => Instant;
}

export class DutyRoster {
  readonly #routers: RouterTable;
  readonly #now: () => Instant;

  constructor(options: DutyRosterOptions) {
    this.#routers = options.routers;
    this.#now = options.now;
  }

  /**
   * Returns the router that holds a duty such as `watch:engine-7`. A router
   * that leaves holds none, unless no other is live.
   */
  ownerOf(duty: string): RouterId {
    const { self } = this.#routers;
    return topMember(duty, this.#routers.live(this.#now())) ?? self.id;
  }

  /** Whether the duty falls on this router. */
  owns(duty: string): boolean {
    return this.ownerOf(duty) === this.#routers.self.id;
  }

  /** Returns the first few routers for a duty that more than one holds. */
  ownersOf(duty: string, count: number): RouterId[] {
    const owners: RouterId[] = [];
    const left = new Set(this.#routers.live(this.#now()));
    while (owners.length < count) {
      const owner = topMember(duty, left);
      if (owner === undefined) {
        break;
      }
      owners.push(owner);
      left.delete(owner);
    }
    return owners;
  }
}
