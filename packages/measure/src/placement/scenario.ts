/** Sizes, loads and churn of a simulation. */

export interface PlacementScenario {
  readonly seed: number;
  readonly engines: number;
  readonly routers: number;
  readonly zones: number;
  /** Measured time, after the warm-up, in seconds. */
  readonly seconds: number;
  readonly warmUpSeconds: number;
  /** Mean requests in flight on one engine. */
  readonly inFlight: number;
  /** Maximum requests that an engine runs at once before it refuses. */
  readonly capacity: number;
  /** Mean time that a request runs, in seconds. */
  readonly serviceSeconds: number;
  /** Age of endpoints' load reports when a router receives them, in seconds. */
  readonly lag: number;
  readonly bound: number;
  readonly teams: number;
  /** Contexts that an engine caches. */
  readonly keptContexts: number;
  /** Fraction of the chats whose callers echo the affinity headers. */
  readonly echoing: number;
  /** Whether engines leave, join and flap, and a zone is lost. */
  readonly churn: boolean;
  /** Whether one team sends ten times its usual load for a while. */
  readonly surge: boolean;
}

export const CURRENT_FLEET_SCENARIO: PlacementScenario = {
  seed: 1,
  engines: 6,
  routers: 17,
  zones: 3,
  seconds: 300,
  warmUpSeconds: 120,
  inFlight: 10,
  capacity: 24,
  serviceSeconds: 2,
  lag: 1,
  bound: 1.25,
  teams: 10,
  keptContexts: 300,
  echoing: 1,
  churn: true,
  surge: true,
};

/** One region of a large fleet. */
export const REGION_SCENARIO: PlacementScenario = {
  ...CURRENT_FLEET_SCENARIO,
  engines: 290,
  routers: 120,
  seconds: 40,
  warmUpSeconds: 20,
  inFlight: 70,
  capacity: 160,
  serviceSeconds: 10,
  teams: 760,
  keptContexts: 500,
};

/** Requests per second of the whole fleet without a surge. */
export function arrivalRate(scenario: PlacementScenario): number {
  return (scenario.engines * scenario.inFlight) / scenario.serviceSeconds;
}

/** A part of the measured time, as fractions of it. */
interface Span {
  readonly from: number;
  readonly to: number;
}

/** Part of the measured time in which one team surges. */
export const SURGE_SPAN: Span = { from: 0.35, to: 0.5 };

/** Load of a surging team, as a multiple of its usual load. */
export const SURGE_FACTOR = 10;

/** A change of the engines at a fraction of the measured time. */
export type ChurnEvent =
  | { readonly kind: 'leave'; readonly at: number }
  | { readonly kind: 'join'; readonly at: number }
  | { readonly kind: 'flap'; readonly at: number }
  | { readonly kind: 'zone-lost'; readonly at: number }
  | { readonly kind: 'zone-back'; readonly at: number };

export const CHURN_EVENTS: readonly ChurnEvent[] = [
  { kind: 'leave', at: 0.08 },
  { kind: 'join', at: 0.16 },
  { kind: 'flap', at: 0.24 },
  { kind: 'flap', at: 0.3 },
  { kind: 'zone-lost', at: 0.6 },
  { kind: 'zone-back', at: 0.75 },
];

/** Time for which a flapping engine is stopped. */
export const FLAP_SECONDS = 8;
