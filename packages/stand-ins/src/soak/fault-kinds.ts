/** The faults that a soak injects at random times. */

export const FAULT_KINDS = [
  'term',
  'kill',
  'freeze',
  'hang-up',
  'store',
  'configuration',
  'leave',
  'kill-all',
  'limit',
  'foreign-entry',
  'release',
  'restart',
] as const;
export type FaultKind = (typeof FAULT_KINDS)[number];

/** Faults of all routers, which every other seed leaves out so that some stay in touch. */
export const FLEET_FAULTS: ReadonlySet<FaultKind> = new Set([
  'kill-all',
  'store',
] as const);
/** Faults after which routers may not know the streams or the endpoints. */
export const DISTURBING_FAULTS: ReadonlySet<FaultKind> = new Set([
  'term',
  'kill',
  'freeze',
  'store',
  'kill-all',
] as const);
