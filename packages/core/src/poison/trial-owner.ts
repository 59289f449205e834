/**
 * Grants trials: a suspect is run by one router at a time, and no two suspects
 * on trial share an endpoint, so that a crash during a trial tells which one.
 */
import type { EndpointId, Fingerprint, RouterId } from '../types/ids';
import { addTime, elapsed, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** A trial that is not renewed for this long is over. */
export const TRIAL_TIMEOUT: Milliseconds = seconds(30);
/** Trials kept at once. */
const maxTrials = 2048;

export interface Trial {
  readonly router: RouterId;
  readonly endpoint: EndpointId;
  readonly until: Instant;
  /** True once the router said that it sent the suspect there. */
  readonly isRunning: boolean;
}

export class TrialOwner {
  readonly #trials = new Map<Fingerprint, Trial>();

  /**
   * Gives the router a trial on the first of the endpoints that has none;
   * undefined while the suspect or all the endpoints are on trial elsewhere.
   */
  grant(
    suspect: Fingerprint,
    router: RouterId,
    endpoints: readonly EndpointId[],
    now: Instant,
  ): EndpointId | undefined {
    this.#expire(now);
    const current = this.#trials.get(suspect);
    if (current) {
      return current.router === router ? current.endpoint : undefined;
    }
    const taken = new Set<EndpointId>();
    for (const trial of this.#trials.values()) {
      taken.add(trial.endpoint);
    }
    const endpoint = endpoints.find(candidate => !taken.has(candidate));
    if (endpoint === undefined || this.#trials.size >= maxTrials) {
      return undefined;
    }
    const until = addTime(now, TRIAL_TIMEOUT);
    this.#trials.set(suspect, { router, endpoint, until, isRunning: false });
    return endpoint;
  }

  /** Notes or renews a run that is under way, granted or not. */
  recordRun(
    suspect: Fingerprint,
    router: RouterId,
    endpoint: EndpointId,
    now: Instant,
  ): void {
    const current = this.#trials.get(suspect);
    const known = current ?? this.#trials.size < maxTrials;
    if (known && (!current || current.router === router)) {
      const until = addTime(now, TRIAL_TIMEOUT);
      this.#trials.set(suspect, { router, endpoint, until, isRunning: true });
    }
  }

  /** The suspects that run on trial on an endpoint; a grant alone is no run. */
  suspectsRunningOn(endpoint: EndpointId): Fingerprint[] {
    const suspects: Fingerprint[] = [];
    for (const [suspect, trial] of this.#trials) {
      if (trial.isRunning && trial.endpoint === endpoint) {
        suspects.push(suspect);
      }
    }
    return suspects;
  }

  /** Ends the router's trial of a suspect. */
  endTrial(suspect: Fingerprint, router: RouterId): void {
    if (this.#trials.get(suspect)?.router === router) {
      this.#trials.delete(suspect);
    }
  }

  /** Drops the trial of content that is no suspect any more. */
  drop(suspect: Fingerprint): void {
    this.#trials.delete(suspect);
  }

  #expire(now: Instant): void {
    for (const [suspect, trial] of this.#trials) {
      if (elapsed(trial.until, now) >= 0) {
        this.#trials.delete(suspect);
      }
    }
  }
}
