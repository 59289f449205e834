/**
 * Decides which router asks which engine what it holds. Routers learn that from
 * their own sends and from peers; after all of them were restarted nobody knows
 * it, and parts would be read again on other engines. A few routers take turns
 * at each engine, so that one answer serves the fleet and a router that is down
 * is stood in for.
 */
import { rankMembers } from '../hashing/rendezvous';
import type { EndpointId, RouterId } from '../types/ids';
import { elapsed, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Time in which a router that has just started hears from peers what they know. */
const FIRST_TURN: Milliseconds = milliseconds(500);
/** Time between two turns; an engine answers between two steps, and news take 50 ms. */
const NEXT_TURN: Milliseconds = milliseconds(600);
/** Routers that take a turn at an engine; so many are rarely down together. */
const TURNS = 4;

export class CacheSurveyPlan {
  readonly #self: RouterId;
  /** Engines that ran before this router and of which nobody has told. */
  readonly #pending = new Set<EndpointId>();
  readonly #told = new Set<EndpointId>();
  #begun: Instant | undefined;

  constructor(self: RouterId) {
    this.#self = self;
  }

  /** Whether the engines that ran before this router are known. */
  get hasBegun(): boolean {
    return this.#begun !== undefined;
  }

  /** Takes the engines that may hold parts that this router does not know of. */
  begin(engines: readonly EndpointId[], now: Instant): void {
    this.#begun = now;
    for (const engine of engines) {
      if (!this.#told.has(engine)) {
        this.#pending.add(engine);
      }
    }
  }

  /** Notes that the fleet knows what an engine holds; returns false when that was known. */
  markKnown(engine: EndpointId): boolean {
    this.#pending.delete(engine);
    const isNews = !this.#told.has(engine);
    this.#told.add(engine);
    return isNews;
  }

  remove(engine: EndpointId): void {
    this.#pending.delete(engine);
    this.#told.delete(engine);
  }

  /** Whether this router knows what the engine holds, as far as the fleet does. */
  isKnown(engine: EndpointId): boolean {
    return this.hasBegun && !this.#pending.has(engine);
  }

  /** Returns the engines that this router asks now; each one once. */
  takeEnginesToQuery(routers: readonly RouterId[], now: Instant): EndpointId[] {
    if (this.#begun === undefined) {
      return [];
    }
    const since = elapsed(this.#begun, now);
    const due = [...this.#pending].filter(engine => {
      const rank = rankMembers(`survey ${engine}`, routers).indexOf(this.#self);
      const isTurn = since >= FIRST_TURN + rank * NEXT_TURN;
      return rank >= 0 && rank < TURNS && isTurn;
    });
    // An engine that does not answer is left to the next router in turn.
    due.forEach(engine => this.#pending.delete(engine));
    return due;
  }
}
