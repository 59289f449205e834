/** Limits and time-outs of the order manager. */
import type { Milliseconds } from '../types/units';
import { milliseconds, seconds } from '../types/units';

export interface OrderSettings {
  /**
   * Maximum age of a claim's confirmation for a send; an older claim is
   * confirmed again first.
   */
  readonly maxClaimAge: Milliseconds;
  /** Time after which a claim is given up if the store has not confirmed it. */
  readonly claimTimeout: Milliseconds;
  /** Time after which writing an order's final state is given up. */
  readonly closeTimeout: Milliseconds;
  /** Initial and maximum back-off after an exchange without progress. */
  readonly initialBackoff: Milliseconds;
  readonly maxBackoff: Milliseconds;
  /** Minimum pause between reads of another claim's row; the back-off is added to it. */
  readonly minPollPause: Milliseconds;
  /** Maximum orders at one router; further ones are refused. */
  readonly maxOrders: number;
}

export const DEFAULT_ORDER_SETTINGS: OrderSettings = {
  maxClaimAge: seconds(5),
  claimTimeout: seconds(2),
  closeTimeout: seconds(600),
  initialBackoff: milliseconds(25),
  maxBackoff: seconds(2),
  minPollPause: milliseconds(50),
  maxOrders: 20_000,
};
