/** Ways in which a caller of a poison request comes back, and what protects the endpoints. */

/** What a router does about content that crashed an endpoint. */
export type Protection =
  /** Nothing; the request is retried once and the caller told. */
  | 'none'
  /** Each router knows only what it saw itself. */
  | 'own-evidence'
  /** Suspects and trials are shared through the topic. */
  | 'shared';

export type CallerBehaviour =
  /** Resends through any router when told of the failure. */
  | 'patient'
  /** Also resends after two seconds without an answer. */
  | 'impatient'
  /** Sends three copies at once, and resends each when told. */
  | 'copies'
  /** Patient, but the router of the first crash fails with the endpoint. */
  | 'router-lost';

export interface PoisonScenario {
  readonly protection: Protection;
  readonly callerBehaviour: CallerBehaviour;
  readonly seed: number;
}

export const ROUTER_COUNT = 17;
export const ENGINE_COUNT = 6;
export const ENGINE_SLOTS = 12;
/** Innocent requests per ms and their mean length in ms. */
export const ARRIVALS_PER_MS = 10 / 1000;
export const MEAN_LENGTH_MS = 4000;
export const DURATION_MS = 150_000;
export const POISON_SENT_AT_MS = 20_000;
/** How often a caller of the poison request sends it in all. */
export const MAX_POISON_SENDS = 12;
/** Time from the start of the poison request to the crash. */
export const CRASH_DELAY_MS = { least: 100, most: 1500 };
export const RESTART_DELAY_MS = 20_000;
export const TICK_PERIOD_MS = 100;
export const GOSSIP_PERIOD_MS = 500;
export const GOSSIP_DELAY_MS = 2;
/** Part of the messages between routers that is lost. */
export const GOSSIP_LOSS_FRACTION = 0.01;
/** Bytes that the topic may use per peer and message. */
export const GOSSIP_BUDGET_BYTES = 2000;
/** Longest time until every router learns that an endpoint crashed. */
export const MAX_MEMBERSHIP_DELAY_MS = 1000;
export const IMPATIENT_RESEND_MS = 2000;
/** Longest time that a caller of an innocent request waits. */
export const CALLER_TIMEOUT_MS = 60_000;
