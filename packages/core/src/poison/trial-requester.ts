/** One router's side of trials: what it asked for, was granted and runs. */
import type { EndpointId, Fingerprint } from '../types/ids';
import {
  addTime,
  elapsed,
  instant,
  milliseconds,
  seconds,
} from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** An unanswered request for a trial is sent again after this. */
const askAgainAfter = milliseconds(500);
/** Longest time that content waits for a trial before it is refused. */
export const MAX_TRIAL_HOLD: Milliseconds = seconds(45);
/** A request for a trial that nobody renewed for this long is dropped. */
const askAbandonedAfter = seconds(5);
/** A grant must be used, and a trial begun, within this. */
const grantValidity = seconds(10);
/** How often the keeper is told that a trial goes on. */
const renewalPeriod = seconds(8);

interface Ask {
  readonly since: Instant;
  renewedAt: Instant;
  sentAt: Instant | undefined;
}

interface Grant {
  readonly endpoint: EndpointId;
  readonly until: Instant;
}

interface OwnTrial {
  readonly endpoint: EndpointId;
  readonly since: Instant;
  begun: boolean;
  renewedAt: Instant;
}

/** A message to the keeper of a suspect that has become due. */
export interface TrialNotification {
  readonly kind: 'running' | 'ended';
  readonly id: Fingerprint;
  readonly endpoint: EndpointId;
}

export class TrialRequester {
  readonly #asks = new Map<Fingerprint, Ask>();
  readonly #grants = new Map<Fingerprint, Grant>();
  readonly #trials = new Map<Fingerprint, OwnTrial>();

  /** The endpoint on which this router tries the suspect at present. */
  endpointOf(id: Fingerprint): EndpointId | undefined {
    return this.#trials.get(id)?.endpoint;
  }

  /** The endpoint of a trial that has not been sent yet. */
  reservedEndpoint(id: Fingerprint): EndpointId | undefined {
    const trial = this.#trials.get(id);
    return trial?.begun === false ? trial.endpoint : undefined;
  }

  endpoints(): EndpointId[] {
    return [...this.#trials.values()].map(trial => trial.endpoint);
  }

  /** Renews the wish for a trial; returns until when the content may wait. */
  request(id: Fingerprint, now: Instant): Instant {
    const ask = this.#asks.get(id);
    if (ask) {
      ask.renewedAt = now;
      return addTime(ask.since, MAX_TRIAL_HOLD);
    }
    this.#asks.set(id, { since: now, renewedAt: now, sentAt: undefined });
    return addTime(now, MAX_TRIAL_HOLD);
  }

  /** True when the keeper has to be asked now. */
  shouldSendRequest(id: Fingerprint, now: Instant): boolean {
    const ask = this.#asks.get(id);
    const due =
      ask !== undefined &&
      (ask.sentAt === undefined || elapsed(ask.sentAt, now) >= askAgainAfter);
    if (due) {
      ask.sentAt = now;
    }
    return due;
  }

  /** Drops the wish for a trial. */
  cancelRequest(id: Fingerprint): void {
    this.#asks.delete(id);
  }

  /** Takes a grant; false when nobody waits for it any more. */
  onGrant(id: Fingerprint, endpoint: EndpointId, now: Instant): boolean {
    if (!this.#asks.has(id)) {
      return this.#trials.get(id)?.endpoint === endpoint;
    }
    this.#grants.set(id, { endpoint, until: addTime(now, grantValidity) });
    return true;
  }

  /** Begins the granted trial, if there is a valid grant. */
  beginTrial(id: Fingerprint, now: Instant): EndpointId | undefined {
    const grant = this.#grants.get(id);
    this.#grants.delete(id);
    if (!grant || elapsed(now, grant.until) <= 0) {
      return undefined;
    }
    this.#asks.delete(id);
    this.#trials.set(id, {
      endpoint: grant.endpoint,
      since: now,
      begun: false,
      renewedAt: now,
    });
    return grant.endpoint;
  }

  /** Notes that the trial's attempt was sent. */
  onAttemptSent(id: Fingerprint): void {
    const trial = this.#trials.get(id);
    if (trial) {
      trial.begun = true;
      // Makes the next tick tell the keeper.
      trial.renewedAt = instant(trial.since - renewalPeriod);
    }
  }

  /** Ends this router's trial; returns whether there was one. */
  endTrial(id: Fingerprint): boolean {
    return this.#trials.delete(id);
  }

  /** Returns what the keepers have to be told. */
  tick(now: Instant): TrialNotification[] {
    for (const [id, ask] of this.#asks) {
      if (elapsed(ask.renewedAt, now) >= askAbandonedAfter) {
        this.#asks.delete(id);
      }
    }
    return [...this.#tickGrants(now), ...this.#tickTrials(now)];
  }

  #tickGrants(now: Instant): TrialNotification[] {
    const notices: TrialNotification[] = [];
    for (const [id, { endpoint, until }] of this.#grants) {
      if (elapsed(now, until) <= 0) {
        this.#grants.delete(id);
        notices.push({ kind: 'ended', id, endpoint });
      }
    }
    return notices;
  }

  #tickTrials(now: Instant): TrialNotification[] {
    const notices: TrialNotification[] = [];
    for (const [id, trial] of this.#trials) {
      const { endpoint } = trial;
      if (!trial.begun && elapsed(trial.since, now) >= grantValidity) {
        this.#trials.delete(id);
        notices.push({ kind: 'ended', id, endpoint });
      } else if (elapsed(trial.renewedAt, now) >= renewalPeriod) {
        trial.renewedAt = now;
        notices.push({ kind: 'running', id, endpoint });
      }
    }
    return notices;
  }
}
