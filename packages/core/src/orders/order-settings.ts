/** Limits and waits of the order book. */
import type { Milliseconds } from '../types/units';
import { milliseconds, seconds } from '../types/units';

export interface OrderSettings {
  /** How long a confirmed claim allows sending before it is confirmed again. */
  readonly maxClaimAge: Milliseconds;
  /** How long a claim is tried while the store refuses every write. */
  readonly claimTimeout: Milliseconds;
  /** How long the last state of an order is tried to be written. */
  readonly closeTimeout: Milliseconds;
  /** First and longest pause after an exchange that brought nothing. */
  readonly initialBackoff: Milliseconds;
  readonly maxBackoff: Milliseconds;
  /** First pause between reads of another claim's row; it doubles. */
  readonly minWatchPause: Milliseconds;
  /** Most orders held at once; more are refused. */
  readonly maxOrders: number;
}

export const DEFAULT_ORDER_SETTINGS: OrderSettings = {
  maxClaimAge: seconds(5),
  claimTimeout: seconds(2),
  closeTimeout: seconds(600),
  initialBackoff: milliseconds(25),
  maxBackoff: seconds(2),
  minWatchPause: milliseconds(50),
  maxOrders: 20_000,
};
