/** Ways in which a caller of a poison request comes back, and what protects the endpoints. */

/** What a router does about content that crashed an endpoint. */
export type Protection =
  /** Nothing; the request is retried once and the caller told. */
  | 'none'
  /** Each router knows only what it saw itself. */
  | 'own-evidence'
  /** Suspects and trials are shared through the topic. */
  | 'shared';

export type CallerHabit =
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
  readonly habit: CallerHabit;
  readonly seed: number;
}

export const routerCount = 17;
export const engineCount = 6;
export const engineSlots = 12;
/** Innocent requests per ms and their mean length in ms. */
export const arrivalRate = 10 / 1000;
export const meanLength = 4000;
export const duration = 150_000;
export const poisonAt = 20_000;
/** How often a caller of the poison request sends it in all. */
export const maxSends = 12;
/** Time from the start of the poison request to the crash. */
export const crashAfter = { least: 100, most: 1500 };
export const restartAfter = 20_000;
export const tickPeriod = 100;
export const gossipPeriod = 500;
export const gossipDelay = 2;
/** Part of the messages between routers that is lost. */
export const gossipLoss = 0.01;
/** Bytes that the topic may use per peer and message. */
export const gossipBudget = 2000;
/** Longest time until every router learns that an endpoint crashed. */
export const membershipDelay = 1000;
export const impatience = 2000;
/** Longest time that a caller of an innocent request waits. */
export const patience = 60_000;
