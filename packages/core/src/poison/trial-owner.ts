/**
 * Grants trials. A suspect is run by one router at a time, and no two suspects
 * on trial share an endpoint, so that a crash during a trial identifies the
 * content that caused it.
 */
import type { EndpointId, Fingerprint, RouterId } from '../types/ids';
import { addTime, elapsed, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** A trial that is not renewed for this long is over. */
export const TRIAL_TIMEOUT: Milliseconds = seconds(30);
/** Maximum number of concurrent trials. */
const MAX_TRIALS = 2048;

export interface Trial {
  readonly router: RouterId;
  readonly endpoint: EndpointId;
  readonly until: Instant;
  /**
   * True once the router has reported that it sent the suspect to the endpoint.
   */
  readonly isRunning: boolean;
}

export class TrialOwner {
  readonly #trials = new Map<Fingerprint, Trial>();

  /**
   * Grants the router a trial on the first of the endpoints that has none.
   * Returns undefined while the suspect is on trial at another router, all
   * endpoints are taken, or the maximum number of trials is reached.
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
    if (endpoint === undefined || this.#trials.size >= MAX_TRIALS) {
      return undefined;
    }
    const until = addTime(now, TRIAL_TIMEOUT);
    this.#trials.set(suspect, { router, endpoint, until, isRunning: false });
    return endpoint;
  }

  /** Records or renews a run in progress, granted or not. */
  recordRun(
    suspect: Fingerprint,
    router: RouterId,
    endpoint: EndpointId,
    now: Instant,
  ): void {
    const current = this.#trials.get(suspect);
    const canRecord = current ?? this.#trials.size < MAX_TRIALS;
    if (canRecord && (!current || current.router === router)) {
      const until = addTime(now, TRIAL_TIMEOUT);
      this.#trials.set(suspect, { router, endpoint, until, isRunning: true });
    }
  }

  /**
   * Returns the suspects that run on an endpoint; a grant without a reported
   * run does not count.
   */
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

  /** Drops the trial of content that is no longer a suspect. */
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
