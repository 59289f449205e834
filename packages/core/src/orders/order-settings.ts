/** Limits and waits of the order book. */
import type { Milliseconds } from '../types/units';
import { milliseconds, seconds } from '../types/units';

export interface OrderSettings {
  /** How long a confirmed claim allows sending before it is confirmed again. */
  readonly sendWithin: Milliseconds;
  /** How long a claim is tried while the store refuses every write. */
  readonly storePatience: Milliseconds;
  /** How long the last state of an order is tried to be written. */
  readonly closeWithin: Milliseconds;
  /** First and longest pause after an exchange that brought nothing. */
  readonly firstPause: Milliseconds;
  readonly longestPause: Milliseconds;
  /** First pause between reads of another claim's row; it doubles. */
  readonly watchPause: Milliseconds;
  /** Most orders held at once; more are refused. */
  readonly maxOrders: number;
}

export const defaultOrderSettings: OrderSettings = {
  sendWithin: seconds(5),
  storePatience: seconds(2),
  closeWithin: seconds(600),
  firstPause: milliseconds(25),
  longestPause: seconds(2),
  watchPause: milliseconds(50),
  maxOrders: 20_000,
};
