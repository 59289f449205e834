/**
 * Effective values for the policies: the accepted configuration, with the
 * settings file as fallback.
 */
import type { ConfigurationReplica } from '../configuration/configuration-replica';
import type { SettingContext } from '../configuration/effective-settings';
import type { SettingName, SettingValues } from '../configuration/setting';
import { UNLIMITED_TEAM, TeamPolicy } from '../limits/team-policy';
import type { TeamLimits } from '../limits/team-policy';
import type { Request, Target } from '../requests/types';
import type { ModelPlan } from '../engine-orders/engine-planner';
import type { ModelId, TeamId } from '../types/ids';
import { milliseconds } from '../types/units';
import type { Milliseconds } from '../types/units';

/** Values of the settings file, which apply until an operator sets others. */
export interface FleetBaseline {
  readonly teams: ReadonlyMap<TeamId, TeamLimits>;
  readonly bound: number;
  readonly skewWeight: number;
  readonly requestTimeout: Milliseconds;
  readonly stopWait: Milliseconds;
}

export interface FleetPolicyOptions {
  readonly replica: ConfigurationReplica;
  readonly baseline: FleetBaseline;
}

/** Returns the properties of a target to which exceptions of the configuration can refer. */
export function settingSubject(target: Target): SettingContext {
  return target.kind === 'chat'
    ? { model: target.model }
    : { service: target.service };
}

export class FleetPolicy extends TeamPolicy {
  readonly #replica: ConfigurationReplica;
  readonly #baseline: FleetBaseline;

  constructor(options: FleetPolicyOptions) {
    super();
    this.#replica = options.replica;
    this.#baseline = options.baseline;
  }

  override limits(team: TeamId): TeamLimits {
    const base = this.#baseline.teams.get(team) ?? UNLIMITED_TEAM;
    return {
      weight: this.#find('teamWeight', { team }) ?? base.weight,
      maxInFlight: this.#find('teamLimit', { team }) ?? base.maxInFlight,
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

  /** Maximum load of one endpoint as a multiple of the mean. */
  bound(target: Target): number {
    return (
      this.#find('loadBound', settingSubject(target)) ?? this.#baseline.bound
    );
  }

  /** Weight of an even load against cache reuse, in 0..1. */
  skewWeight({ target, team }: Request): number {
    const subject = { ...settingSubject(target), team };
    return this.#find('skewWeight', subject) ?? this.#baseline.skewWeight;
  }

  /** Timeout of a request whose caller sets none. */
  requestTimeout(target: Target, team: TeamId): Milliseconds {
    const subject = { ...settingSubject(target), team };
    const accepted = this.#find('requestTimeoutMs', subject);
    return accepted === undefined
      ? this.#baseline.requestTimeout
      : milliseconds(accepted);
  }

  /** Maximum wait of a planned stop; 0 means no limit. */
  get stopWait(): Milliseconds {
    const accepted = this.#find('stopWaitMs', {});
    return accepted === undefined
      ? this.#baseline.stopWait
      : milliseconds(accepted);
  }

  /** Maximum retries as a fraction of first attempts. */
  get retryFraction(): number {
    return this.#replica.settings.get('retryFraction');
  }

  /** Maximum wait for capacity. */
  get queueWait(): Milliseconds {
    return milliseconds(this.#replica.settings.get('queueWaitMs'));
  }

  /** Maximum fraction of the endpoints that may be ejected at the same time. */
  get ejectionCap(): number {
    return this.#replica.settings.get('ejectionCap');
  }

  /**
   * Returns the desired engines of a model; undefined if neither the
   * configuration nor `baseline` sets their number.
   */
  enginePlan(
    model: ModelId,
    baseline: number | undefined,
  ): ModelPlan | undefined {
    const engines = this.#find('wantedEngines', { model }) ?? baseline;
    if (engines === undefined) {
      return undefined;
    }
    const { settings } = this.#replica;
    return {
      model,
      engines,
      version: settings.get('modelVersion', { model }),
      adapters: settings.get('adapters', { model }),
      role: settings.get('engineRole', { model }),
    };
  }

  #find<Name extends SettingName>(
    name: Name,
    subject: SettingContext,
  ): SettingValues[Name] | undefined {
    return this.#replica.settings.find(name, subject);
  }
}
