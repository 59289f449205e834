/** Assigns shared tasks to live routers by rendezvous hashing. */
import { topMember } from '../hashing/rendezvous';
import type { RouterTable } from '../membership/router-table';
import type { RouterId } from '../types/ids';
import { elapsed, milliseconds } from '../types/units';
import type { Instant } from '../types/units';

export interface TaskAssignmentOptions {
  readonly routers: RouterTable;
  readonly now: () => Instant;
}

/**
 * The live routers are read again after this time, or when a router changes.
 */
const LIVE_ROUTERS_MAX_AGE = milliseconds(100);

export class TaskAssignment {
  readonly #routers: RouterTable;
  readonly #now: () => Instant;
  /** Owner of each task; cleared when the live routers change. */
  readonly #owners = new Map<string, RouterId>();
  #liveRouters: readonly RouterId[] = [];
  #revision: number | undefined;
  #refreshedAt: Instant | undefined;

  constructor(options: TaskAssignmentOptions) {
    this.#routers = options.routers;
    this.#now = options.now;
  }

  /**
   * Returns the router that owns a task such as `watch:engine-7`. A leaving
   * router owns none, unless no other is live.
   */
  ownerOf(task: string): RouterId {
    this.#refreshLiveRouters();
    const cached = this.#owners.get(task);
    if (cached !== undefined) {
      return cached;
    }
    const owner = topMember(task, this.#liveRouters) ?? this.#routers.self.id;
    this.#owners.set(task, owner);
    return owner;
  }

  /** Whether this router owns the task. */
  owns(task: string): boolean {
    return this.ownerOf(task) === this.#routers.self.id;
  }

  /**
   * Returns up to `count` routers for a task that several routers own, the
   * first owner first.
   */
  ownersOf(task: string, count: number): RouterId[] {
    const owners: RouterId[] = [];
    this.#refreshLiveRouters();
    const remaining = new Set(this.#liveRouters);
    while (owners.length < count) {
      const owner = topMember(task, remaining);
      if (owner === undefined) {
        break;
      }
      owners.push(owner);
      remaining.delete(owner);
    }
    return owners;
  }

  #refreshLiveRouters(): void {
    const now = this.#now();
    const { revision } = this.#routers;
    const isFresh =
      revision === this.#revision &&
      this.#refreshedAt !== undefined &&
      elapsed(this.#refreshedAt, now) < LIVE_ROUTERS_MAX_AGE;
    if (isFresh) {
      return;
    }
    this.#revision = revision;
    this.#refreshedAt = now;
    const live = this.#routers.liveRouters(now);
    const isUnchanged =
      live.length === this.#liveRouters.length &&
      live.every((id, index) => id === this.#liveRouters[index]);
    if (!isUnchanged) {
      this.#liveRouters = live;
      this.#owners.clear();
    }
  }
}
