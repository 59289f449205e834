/** Timing rules that keep two routers from acting under one lease at the same time. */
import type { Instant, Milliseconds } from '../types/units';
import { elapsed, milliseconds, seconds } from '../types/units';

export interface LeaseSettings {
  /** Duration of a lease from the start of the write that took or renewed it. */
  readonly duration: Milliseconds;
  /** Maximum difference of two clocks over the duration of a lease. */
  readonly maxClockDrift: Milliseconds;
  /** Maximum time from the check before a send to its arrival at the receiver. */
  readonly maxSendDelay: Milliseconds;
  /** Time between reads of a lease that another router holds. */
  readonly pollInterval: Milliseconds;
}

export const DEFAULT_LEASE_SETTINGS: LeaseSettings = {
  duration: seconds(15),
  maxClockDrift: milliseconds(100),
  maxSendDelay: seconds(2),
  pollInterval: seconds(2),
};

/** Renewals per lease duration, so that two lost renewals do no harm. */
const LEASE_RENEWALS = 3;

export class LeaseRules {
  readonly settings: LeaseSettings;

  constructor(settings: LeaseSettings = DEFAULT_LEASE_SETTINGS) {
    this.settings = settings;
  }

  /**
   * Whether a holder may still start a send. The limit lies early enough for the
   * send to arrive before a successor may act, whichever clock runs fast.
   */
  canSend(renewedAt: Instant, now: Instant): boolean {
    const { duration, maxClockDrift, maxSendDelay } = this.settings;
    const age = elapsed(renewedAt, now);
    return age >= 0 && age < duration - (2 * maxClockDrift + maxSendDelay);
  }

  /**
   * Whether a successor may take the lease: its row has not changed for the
   * whole duration, so the holder has stopped.
   */
  canTake(
    unchangedSince: Instant,
    duration: Milliseconds,
    now: Instant,
  ): boolean {
    return elapsed(unchangedSince, now) >= duration;
  }

  /** Whether the holder should renew the lease now. */
  isRenewalDue(renewedAt: Instant, now: Instant): boolean {
    return elapsed(renewedAt, now) >= this.settings.duration / LEASE_RENEWALS;
  }
}
