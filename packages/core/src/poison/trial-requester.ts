/** Tracks the trials that one router requests, is granted and runs. */
import type { EndpointId, Fingerprint } from '../types/ids';
import {
  addTime,
  elapsed,
  instant,
  milliseconds,
  seconds,
} from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** A trial request without a grant is sent again after this time. */
const REQUEST_RESEND_AFTER = milliseconds(500);
/** Maximum time that content waits for a trial before it is refused. */
export const MAX_TRIAL_HOLD: Milliseconds = seconds(45);
/** A trial request that is not renewed for this long is dropped. */
const REQUEST_ABANDONED_AFTER = seconds(5);
/** Time within which a grant must be used, and the attempt of a trial sent. */
const GRANT_VALIDITY = seconds(10);
/** Period at which a running trial is reported to its owner. */
const RENEWAL_PERIOD = seconds(8);

interface TrialRequest {
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
  isSent: boolean;
  renewedAt: Instant;
}

/** A message that must be sent to the owner of a suspect's trials. */
export interface TrialNotification {
  readonly kind: 'running' | 'ended';
  readonly id: Fingerprint;
  readonly endpoint: EndpointId;
}

export class TrialRequester {
  readonly #requests = new Map<Fingerprint, TrialRequest>();
  readonly #grants = new Map<Fingerprint, Grant>();
  readonly #trials = new Map<Fingerprint, OwnTrial>();

  /** Returns the endpoint of this router's trial of the suspect. */
  endpointOf(id: Fingerprint): EndpointId | undefined {
    return this.#trials.get(id)?.endpoint;
  }

  /** Returns the endpoint of a trial whose attempt has not been sent yet. */
  reservedEndpoint(id: Fingerprint): EndpointId | undefined {
    const trial = this.#trials.get(id);
    return trial?.isSent === false ? trial.endpoint : undefined;
  }

  trialEndpoints(): EndpointId[] {
    return [...this.#trials.values()].map(trial => trial.endpoint);
  }

  /**
   * Creates or renews a trial request; returns the time until which the content
   * may wait.
   */
  request(id: Fingerprint, now: Instant): Instant {
    const pending = this.#requests.get(id);
    if (pending) {
      pending.renewedAt = now;
      return addTime(pending.since, MAX_TRIAL_HOLD);
    }
    this.#requests.set(id, { since: now, renewedAt: now, sentAt: undefined });
    return addTime(now, MAX_TRIAL_HOLD);
  }

  /**
   * True when the request must be sent to the owner now; records it as sent.
   */
  shouldSendRequest(id: Fingerprint, now: Instant): boolean {
    const request = this.#requests.get(id);
    const shouldSend =
      request !== undefined &&
      (request.sentAt === undefined ||
        elapsed(request.sentAt, now) >= REQUEST_RESEND_AFTER);
    if (shouldSend) {
      request.sentAt = now;
    }
    return shouldSend;
  }

  /** Drops the trial request. */
  cancelRequest(id: Fingerprint): void {
    this.#requests.delete(id);
  }

  /** Handles a grant; returns false when the trial is no longer requested. */
  onGrant(id: Fingerprint, endpoint: EndpointId, now: Instant): boolean {
    if (!this.#requests.has(id)) {
      return this.#trials.get(id)?.endpoint === endpoint;
    }
    this.#grants.set(id, { endpoint, until: addTime(now, GRANT_VALIDITY) });
    return true;
  }

  /**
   * Begins the granted trial, if there is a valid grant, and returns its
   * endpoint.
   */
  beginTrial(id: Fingerprint, now: Instant): EndpointId | undefined {
    const grant = this.#grants.get(id);
    this.#grants.delete(id);
    if (!grant || elapsed(now, grant.until) <= 0) {
      return undefined;
    }
    this.#requests.delete(id);
    this.#trials.set(id, {
      endpoint: grant.endpoint,
      since: now,
      isSent: false,
      renewedAt: now,
    });
    return grant.endpoint;
  }

  /** Records that the trial's attempt was sent. */
  onAttemptSent(id: Fingerprint): void {
    const trial = this.#trials.get(id);
    if (trial) {
      trial.isSent = true;
      // Makes the next tick report the trial to its owner.
      trial.renewedAt = instant(trial.since - RENEWAL_PERIOD);
    }
  }

  /** Ends this router's trial; returns whether there was one. */
  endTrial(id: Fingerprint): boolean {
    return this.#trials.delete(id);
  }

  /**
   * Drops abandoned requests and expired grants; returns the messages that must
   * be sent to trial owners.
   */
  tick(now: Instant): TrialNotification[] {
    for (const [id, request] of this.#requests) {
      if (elapsed(request.renewedAt, now) >= REQUEST_ABANDONED_AFTER) {
        this.#requests.delete(id);
      }
    }
    return [...this.#tickGrants(now), ...this.#tickTrials(now)];
  }

  #tickGrants(now: Instant): TrialNotification[] {
    const notifications: TrialNotification[] = [];
    for (const [id, { endpoint, until }] of this.#grants) {
      if (elapsed(now, until) <= 0) {
        this.#grants.delete(id);
        notifications.push({ kind: 'ended', id, endpoint });
      }
    }
    return notifications;
  }

  #tickTrials(now: Instant): TrialNotification[] {
    const notifications: TrialNotification[] = [];
    for (const [id, trial] of this.#trials) {
      const { endpoint } = trial;
      if (!trial.isSent && elapsed(trial.since, now) >= GRANT_VALIDITY) {
        this.#trials.delete(id);
        notifications.push({ kind: 'ended', id, endpoint });
      } else if (elapsed(trial.renewedAt, now) >= RENEWAL_PERIOD) {
        trial.renewedAt = now;
        notifications.push({ kind: 'running', id, endpoint });
      }
    }
    return notifications;
  }
}
