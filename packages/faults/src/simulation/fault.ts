/**
 * Faults that are injected into histories. A history is one simulated run with
 * a seed, in virtual time and without sockets.
 */

export const FAULTS = [
  'connection-refused',
  'reset-before-headers',
  'reset-mid-answer',
  'stall',
  'slow',
  'late-answer',
  'duplicated-answer',
  'engine-crash',
  'router-kill',
  'router-pause',
  'router-stop',
  'store-down',
  'store-slow',
  'store-answer-lost',
  'store-rate-limited',
  'stale-list',
  'flapping-endpoint',
  'split-views',
  'operators-racing',
  'poison-request',
] as const;

export type Fault = (typeof FAULTS)[number];

/**
 * Faults of one request and its response, with an endpoint, the store or a
 * peer.
 */
export const EXCHANGE_FAULTS = [
  'connection-refused',
  'reset-before-headers',
  'reset-mid-answer',
  'stall',
  'slow',
  'late-answer',
  'duplicated-answer',
] as const satisfies readonly Fault[];

export type ExchangeFault = (typeof EXCHANGE_FAULTS)[number];

export function isExchangeFault(fault: Fault): fault is ExchangeFault {
  return EXCHANGE_FAULTS.some(kind => kind === fault);
}

/** A planned fault, injected when its step is reached for the n-th time. */
export interface Injection<Step extends string> {
  readonly fault: Fault;
  readonly step: Step;
  /** Counts from 1. */
  readonly occurrence: number;
}

/** A guarantee of the routers that a history violated. */
export interface Violation {
  /**
   * - `at-most-once`: a call or change with one key or id takes effect once.
   * - `true-outcome`: a caller or operator gets the outcome that occurred.
   * - `own-answer`: a caller gets the response to its own request, in order.
   * - `settles`: every request and order gets an end, and none stays open.
   * - `one-holder`: only the current holder of a lease acts under it.
   * - `no-revert`: a router never applies a lower configuration version.
   * - `leaving-is-sticky`: an endpoint that left does not come back.
   * - `converges`: plans and versions are in effect everywhere at the end.
   */
  readonly promise:
    | 'at-most-once'
    | 'true-outcome'
    | 'own-answer'
    | 'settles'
    | 'one-holder'
    | 'no-revert'
    | 'leaving-is-sticky'
    | 'converges';
  readonly detail: string;
}
