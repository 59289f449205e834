/** Limits each team's requests in flight and its request rate (token bucket) at one router. */
import type { TeamId } from '../types/ids';
import { elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import type { TeamPolicy } from './team-policy';

/** Size of the token bucket, as the time of traffic at the limit that fills it. */
const BURST_LENGTH = seconds(2);

interface TeamUsage {
  inFlight: number;
  tokens: number;
  at: Instant;
}

export type LimitCheck =
  | { readonly kind: 'within' }
  | { readonly kind: 'over'; readonly wait: Milliseconds };

/**
 * Shared by the admissions of all pools. A limit applies to the whole fleet;
 * the router enforces the fraction of it that corresponds to its fraction of the
 * team's traffic.
 */
export class TeamLimiter {
  readonly #policy: TeamPolicy;
  readonly #usages = new Map<TeamId, TeamUsage>();

  constructor(policy: TeamPolicy) {
    this.#policy = policy;
  }

  inFlight(team: TeamId): number {
    return this.#usages.get(team)?.inFlight ?? 0;
  }

  /** Takes one token from the team's bucket when both limits allow another request. */
  take(team: TeamId, trafficFraction: number, now: Instant): LimitCheck {
    const { maxInFlight, requestsPerSecond } = this.#policy.limits(team);
    const usage = this.#usage(team, now);
    if (
      usage.inFlight >= Math.max(1, Math.ceil(maxInFlight * trafficFraction))
    ) {
      return { kind: 'over', wait: seconds(1) };
    }
    if (requestsPerSecond === Number.POSITIVE_INFINITY) {
      return { kind: 'within' };
    }
    const perMillisecond = (requestsPerSecond * trafficFraction) / seconds(1);
    const maxTokens = Math.max(1, perMillisecond * BURST_LENGTH);
    const refilled =
      usage.tokens + Math.max(0, elapsed(usage.at, now)) * perMillisecond;
    usage.tokens = Math.min(maxTokens, refilled);
    usage.at = now;
    if (usage.tokens < 1) {
      const wait = (1 - usage.tokens) / perMillisecond;
      return { kind: 'over', wait: milliseconds(wait) };
    }
    usage.tokens -= 1;
    return { kind: 'within' };
  }

  /** Counts a request that was accepted, either queued or running. */
  onStarted(team: TeamId, now: Instant): void {
    this.#usage(team, now).inFlight += 1;
  }

  /** Counts the end of an accepted request. */
  onFinished(team: TeamId, now: Instant): void {
    const usage = this.#usage(team, now);
    usage.inFlight = Math.max(0, usage.inFlight - 1);
  }

  /** Drops teams that have no request in flight and took no token for the length of a burst. */
  tick(now: Instant): void {
    for (const [team, usage] of this.#usages) {
      if (usage.inFlight === 0 && elapsed(usage.at, now) > BURST_LENGTH) {
        this.#usages.delete(team);
      }
    }
  }

  #usage(team: TeamId, now: Instant): TeamUsage {
    let usage = this.#usages.get(team);
    if (!usage) {
      usage = { inFlight: 0, tokens: Number.POSITIVE_INFINITY, at: now };
      this.#usages.set(team, usage);
    }
    return usage;
  }
}
