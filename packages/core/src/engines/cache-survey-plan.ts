/**
 * Decides which router queries which engine for the prompt parts in its cache.
 * Routers learn them from the requests that they send and from peers. After a
 * restart of all routers no router knows them, and other engines would prefill
 * the same parts again. For each engine a few routers have turns, so that one
 * response serves the whole fleet and a router that is down is replaced by the
 * next.
 */
import { rankMembers } from '../hashing/rendezvous';
import type { EndpointId, RouterId } from '../types/ids';
import { elapsed, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Time in which a router that has just started receives the state of its peers. */
const FIRST_TURN_DELAY: Milliseconds = milliseconds(500);
/**
 * Time between two turns; an engine responds between two steps, and updates
 * take 50 ms to reach peers.
 */
const TURN_INTERVAL: Milliseconds = milliseconds(600);
/** Routers with a turn for each engine; so many are rarely down at once. */
const MAX_TURNS = 4;

export class CacheSurveyPlan {
  readonly #self: RouterId;
  /** Engines that ran before this router and whose cached parts are unknown. */
  readonly #pending = new Set<EndpointId>();
  readonly #known = new Set<EndpointId>();
  #begunAt: Instant | undefined;

  constructor(self: RouterId) {
    this.#self = self;
  }

  /** Whether `begin` was called with the engines that ran before this router. */
  get hasBegun(): boolean {
    return this.#begunAt !== undefined;
  }

  /** Starts the survey with the engines that may have cached parts unknown to this router. */
  begin(engines: readonly EndpointId[], now: Instant): void {
    this.#begunAt = now;
    for (const engine of engines) {
      if (!this.#known.has(engine)) {
        this.#pending.add(engine);
      }
    }
  }

  /** Records that an engine's cached parts are known; returns false if that was recorded before. */
  markKnown(engine: EndpointId): boolean {
    this.#pending.delete(engine);
    const isNew = !this.#known.has(engine);
    this.#known.add(engine);
    return isNew;
  }

  remove(engine: EndpointId): void {
    this.#pending.delete(engine);
    this.#known.delete(engine);
  }

  /** Whether this router needs no query for the engine's cached parts. */
  isKnown(engine: EndpointId): boolean {
    return this.hasBegun && !this.#pending.has(engine);
  }

  /**
   * Returns the engines that this router must query now; each engine is returned once. One
   * that may not be queried stays due.
   */
  takeEnginesToQuery(
    routers: readonly RouterId[],
    now: Instant,
    mayQuery: (engine: EndpointId) => boolean = () => true,
  ): EndpointId[] {
    if (this.#begunAt === undefined) {
      return [];
    }
    const sinceBegin = elapsed(this.#begunAt, now);
    const toQuery = [...this.#pending].filter(engine => {
      const rank = rankMembers(`survey ${engine}`, routers).indexOf(this.#self);
      const isTurn = sinceBegin >= FIRST_TURN_DELAY + rank * TURN_INTERVAL;
      return rank >= 0 && rank < MAX_TURNS && isTurn && mayQuery(engine);
    });
    // An engine that does not respond is left to the router with the next turn.
    toQuery.forEach(engine => this.#pending.delete(engine));
    return toQuery;
  }
}
