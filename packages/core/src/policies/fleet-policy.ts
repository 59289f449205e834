/** The accepted configuration as the policies ask for it, over the values of the settings file. */
import type { ConfigurationReplica } from '../configuration/configuration-replica';
import type { SettingContext } from '../configuration/effective-settings';
import type { SettingName, SettingValues } from '../configuration/setting';
import { unlimitedTeam, TeamPolicy } from '../limits/team-policy';
import type { TeamLimits } from '../limits/team-policy';
import type { Request, Target } from '../requests/types';
import type { ModelPlan } from '../engine-orders/engine-planner';
import type { ModelId, TeamId } from '../types/ids';
import { milliseconds } from '../types/units';
import type { Milliseconds } from '../types/units';

/** Values of the settings file; they hold until an operator sets others. */
export interface FleetBaseline {
  readonly teams: ReadonlyMap<TeamId, TeamLimits>;
  readonly bound: number;
  readonly skewWeight: number;
  readonly requestTimeout: Milliseconds;
  readonly stopWait: Milliseconds;
}

export interface FleetPolicyOptions {
  readonly keeper: ConfigurationReplica;
  readonly baseline: FleetBaseline;
}

/** Returns what exceptions may name about a target. */
export function subjectOf(target: Target): SettingContext {
  return target.kind === 'chat'
    ? { model: target.model }
    : { service: target.service };
}

export class FleetPolicy extends TeamPolicy {
  readonly #keeper: ConfigurationReplica;
  readonly #baseline: FleetBaseline;

  constructor(options: FleetPolicyOptions) {
    super();
    this.#keeper = options.keeper;
    this.#baseline = options.baseline;
  }

  override limits(team: TeamId): TeamLimits {
    const base = this.#baseline.teams.get(team) ?? unlimitedTeam;
    return {
      weight: this.#set('teamWeight', { team }) ?? base.weight,
      maxInFlight: this.#set('teamLimit', { team }) ?? base.maxInFlight,
      requestsPerSecond: base.requestsPerSecond,
    };
  }

  override totalWeight(): number {
    let total = 0;
    for (const team of this.#baseline.teams.keys()) {
      total += this.limits(team).weight;
    }
    return Math.max(total, Number.MIN_VALUE);
  }

  /** Most load of one endpoint, as a multiple of the mean. */
  bound(target: Target): number {
    return this.#set('loadBound', subjectOf(target)) ?? this.#baseline.bound;
  }

  /** How far an even load goes before cache reuse, in 0..1. */
  skewWeight({ target, team }: Request): number {
    const subject = { ...subjectOf(target), team };
    return this.#set('skewWeight', subject) ?? this.#baseline.skewWeight;
  }

  /** Longest time that a request may take when its caller names none. */
  requestTimeout(target: Target, team: TeamId): Milliseconds {
    const subject = { ...subjectOf(target), team };
    const accepted = this.#set('requestTimeoutMs', subject);
    return accepted === undefined
      ? this.#baseline.requestTimeout
      : milliseconds(accepted);
  }

  /** Longest wait of a planned stop; 0 is no limit. */
  get stopWait(): Milliseconds {
    const accepted = this.#set('stopWaitMs', {});
    return accepted === undefined
      ? this.#baseline.stopWait
      : milliseconds(accepted);
  }

  /** Retries as a fraction of first attempts. */
  get retryFraction(): number {
    return this.#keeper.settings.get('retryFraction');
  }

  /** Longest wait for capacity. */
  get queueWait(): Milliseconds {
    return milliseconds(this.#keeper.settings.get('queueWaitMs'));
  }

  /** Part of the endpoints that may be ejected at once. */
  get ejectionCap(): number {
    return this.#keeper.settings.get('ejectionCap');
  }

  /** What engines of a model should hold; undefined when nobody says how many. */
  enginePlan(
    model: ModelId,
    baseline: number | undefined,
  ): ModelPlan | undefined {
    const engines = this.#set('wantedEngines', { model }) ?? baseline;
    if (engines === undefined) {
      return undefined;
    }
    const { settings } = this.#keeper;
    return {
      model,
      engines,
      version: settings.get('modelVersion', { model }),
      adapters: settings.get('adapters', { model }),
      role: settings.get('engineRole', { model }),
    };
  }

  #set<Name extends SettingName>(
    name: Name,
    subject: SettingContext,
  ): SettingValues[Name] | undefined {
    return this.#keeper.settings.find(name, subject);
  }
}
