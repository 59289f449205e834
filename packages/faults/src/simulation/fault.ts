/** The faults that histories and the matrix put in. */

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

/** Faults of a single exchange, whatever the peer is. */
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

/** One fault, put in when a step is reached for the n-th time. */
export interface Injection<Step extends string> {
  readonly fault: Fault;
  readonly step: Step;
  /** Counts from 1. */
  readonly occurrence: number;
}

/** A promise that a history broke. */
export interface Violation {
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
