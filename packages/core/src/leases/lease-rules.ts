/** The times on which the safety of leases rests. */
import type { Instant, Milliseconds } from '../types/units';
import { elapsed, milliseconds, seconds } from '../types/units';

export interface LeaseSettings {
  /** How long a lease lasts from the start of the write that took or renewed it. */
  readonly duration: Milliseconds;
  /** Most that two clocks differ over the length of a lease. */
  readonly maxClockDrift: Milliseconds;
  /** Longest time from the check before a send to its arrival. */
  readonly maxSendDelay: Milliseconds;
  /** How long a router waits between reads of a lease that another holds. */
  readonly pollInterval: Milliseconds;
}

export const DEFAULT_LEASE_SETTINGS: LeaseSettings = {
  duration: seconds(15),
  maxClockDrift: milliseconds(100),
  maxSendDelay: seconds(2),
  pollInterval: seconds(2),
};

/** Renewals that fit into one lease, so that two lost ones do no harm. */
const LEASE_RENEWALS = 3;

export class LeaseRules {
  readonly settings: LeaseSettings;

  constructor(settings: LeaseSettings = DEFAULT_LEASE_SETTINGS) {
    this.settings = settings;
  }

  /**
   * True while a holder may still start a send. It stops early enough for the
   * send to arrive before a successor may act, whichever clock runs fast.
   */
  canSend(renewedAt: Instant, now: Instant): boolean {
    const {
      duration: length,
      maxClockDrift: clockError,
      maxSendDelay: longestSend,
    } = this.settings;
    const age = elapsed(renewedAt, now);
    return age >= 0 && age < length - (2 * clockError + longestSend);
  }

  /** True once a holder that was not seen to renew for its whole lease has stopped. */
  canTake(
    unchangedSince: Instant,
    length: Milliseconds,
    now: Instant,
  ): boolean {
    return elapsed(unchangedSince, now) >= length;
  }

  /** True when the holder should renew. */
  isRenewalDue(renewedAt: Instant, now: Instant): boolean {
    return elapsed(renewedAt, now) >= this.settings.duration / LEASE_RENEWALS;
  }
}
