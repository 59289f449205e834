/** Scenarios of a poison request: how its caller resends it, and how the endpoints are protected. */

/** How routers handle content that crashed an endpoint. */
export type Protection =
  /** No protection; the request is retried once, and then the caller gets an error. */
  | 'none'
  /** Each router uses only its own observations. */
  | 'own-evidence'
  /** Routers share suspects and trials through the gossip topic. */
  | 'shared';

export type CallerBehaviour =
  /** Resends through any router after an error. */
  | 'patient'
  /** Also resends after two seconds without a response. */
  | 'impatient'
  /** Sends three copies at nearly the same time, and resends each after an error. */
  | 'copies'
  /** Like `patient`, but the router of the first crash fails together with the endpoint. */
  | 'router-lost';

export interface PoisonScenario {
  readonly protection: Protection;
  readonly callerBehaviour: CallerBehaviour;
  readonly seed: number;
}

export const ROUTER_COUNT = 17;
export const ENGINE_COUNT = 6;
export const ENGINE_SLOTS = 12;
/** Innocent requests per millisecond, and their mean run time. */
export const ARRIVALS_PER_MS = 10 / 1000;
export const MEAN_LENGTH_MS = 4000;
export const DURATION_MS = 150_000;
export const POISON_SENT_AT_MS = 20_000;
/** Maximum sends of the poison request, with its resends. */
export const MAX_POISON_SENDS = 12;
/** Time from the start of the poison request to the crash. */
export const CRASH_DELAY_MS = { min: 100, max: 1500 };
export const RESTART_DELAY_MS = 20_000;
export const TICK_PERIOD_MS = 100;
export const GOSSIP_PERIOD_MS = 500;
export const GOSSIP_DELAY_MS = 2;
/** Fraction of the messages between routers that are lost. */
export const GOSSIP_LOSS_FRACTION = 0.01;
/** Maximum size of the topic's entries in one message to a peer. */
export const GOSSIP_BUDGET_BYTES = 2000;
/** Maximum time until every router learns that an endpoint crashed. */
export const MAX_MEMBERSHIP_DELAY_MS = 1000;
export const IMPATIENT_RESEND_MS = 2000;
/** Maximum time that a caller waits for its response. */
export const CALLER_TIMEOUT_MS = 60_000;
