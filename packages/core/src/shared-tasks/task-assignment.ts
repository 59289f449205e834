/** Which router holds a shared duty, by rendezvous hashing over live routers. */
import { topMember } from '../hashing/rendezvous';
import type { RouterTable } from '../membership/router-table';
import type { RouterId } from '../types/ids';
import { elapsed, milliseconds } from '../types/units';
import type { Instant } from '../types/units';

export interface TaskAssignmentOptions {
  readonly routers: RouterTable;
  readonly now: () => Instant;
}

/** Who is live is looked up again after this time, or when a router changes. */
const LIVE_PERIOD = milliseconds(100);

export class TaskAssignment {
  readonly #routers: RouterTable;
  readonly #now: () => Instant;
  /** Owners among the live routers; dropped when those change. */
  readonly #owners = new Map<string, RouterId>();
  #live: readonly RouterId[] = [];
  #revision: number | undefined;
  #lookedUpAt: Instant | undefined;

  constructor(options: TaskAssignmentOptions) {
    this.#routers = options.routers;
    this.#now = options.now;
  }

  /**
   * Returns the router that holds a duty such as `watch:engine-7`. A router
   * that leaves holds none, unless no other is live.
   */
  ownerOf(duty: string): RouterId {
    this.#lookUp();
    const kept = this.#owners.get(duty);
    if (kept !== undefined) {
      return kept;
    }
    const owner = topMember(duty, this.#live) ?? this.#routers.self.id;
    this.#owners.set(duty, owner);
    return owner;
  }

  /** Whether the duty falls on this router. */
  owns(duty: string): boolean {
    return this.ownerOf(duty) === this.#routers.self.id;
  }

  /** Returns the first few routers for a duty that more than one holds. */
  ownersOf(duty: string, count: number): RouterId[] {
    const owners: RouterId[] = [];
    this.#lookUp();
    const left = new Set(this.#live);
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

  #lookUp(): void {
    const now = this.#now();
    const { revision } = this.#routers;
    const fresh =
      revision === this.#revision &&
      this.#lookedUpAt !== undefined &&
      elapsed(this.#lookedUpAt, now) < LIVE_PERIOD;
    if (fresh) {
      return;
    }
    this.#revision = revision;
    this.#lookedUpAt = now;
    const live = this.#routers.liveRouters(now);
    const same =
      live.length === this.#live.length &&
      live.every((id, index) => id === this.#live[index]);
    if (!same) {
      this.#live = live;
      this.#owners.clear();
    }
  }
}
