/** Limits of each team's requests in flight and per second at one router. */
import type { TeamId } from '../types/ids';
import { elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import type { TeamPolicy } from './team-policy';

/** Length of traffic that may come at once. */
const burst = seconds(2);

interface TeamUse {
  inFlight: number;
  tokens: number;
  at: Instant;
}

export type LimitCheck =
  | { readonly kind: 'within' }
  | { readonly kind: 'over'; readonly wait: Milliseconds };

/**
 * Shared by the admissions of all pools. A limit holds for the whole fleet; the
 * router applies the part of it that its part of the team's traffic warrants.
 */
export class TeamLimiter {
  readonly #policy: TeamPolicy;
  readonly #uses = new Map<TeamId, TeamUse>();

  constructor(policy: TeamPolicy) {
    this.#policy = policy;
  }

  inFlight(team: TeamId): number {
    return this.#uses.get(team)?.inFlight ?? 0;
  }

  /** Takes one request from the team's rate when both limits allow it. */
  take(team: TeamId, portion: number, now: Instant): LimitCheck {
    const { maxInFlight, requestsPerSecond } = this.#policy.limits(team);
    const use = this.#use(team, now);
    if (use.inFlight >= Math.max(1, Math.ceil(maxInFlight * portion))) {
      return { kind: 'over', wait: seconds(1) };
    }
    if (requestsPerSecond === Number.POSITIVE_INFINITY) {
      return { kind: 'within' };
    }
    const perMillisecond = (requestsPerSecond * portion) / seconds(1);
    const most = Math.max(1, perMillisecond * burst);
    const refilled =
      use.tokens + Math.max(0, elapsed(use.at, now)) * perMillisecond;
    use.tokens = Math.min(most, refilled);
    use.at = now;
    if (use.tokens < 1) {
      const wait = (1 - use.tokens) / perMillisecond;
      return { kind: 'over', wait: milliseconds(wait) };
    }
    use.tokens -= 1;
    return { kind: 'within' };
  }

  /** Notes a request that was accepted, waiting or running. */
  onStarted(team: TeamId, now: Instant): void {
    this.#use(team, now).inFlight += 1;
  }

  /** Notes that an accepted request ended. */
  onFinished(team: TeamId, now: Instant): void {
    const use = this.#use(team, now);
    use.inFlight = Math.max(0, use.inFlight - 1);
  }

  /** Drops teams without requests in flight that have been quiet. */
  tick(now: Instant): void {
    for (const [team, use] of this.#uses) {
      if (use.inFlight === 0 && elapsed(use.at, now) > burst) {
        this.#uses.delete(team);
      }
    }
  }

  #use(team: TeamId, now: Instant): TeamUse {
    let use = this.#uses.get(team);
    if (!use) {
      use = { inFlight: 0, tokens: Number.POSITIVE_INFINITY, at: now };
      this.#uses.set(team, use);
    }
    return use;
  }
}
