/** Options of a stand-in engine, and their defaults. */
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';

/** Behaviour of the engine, without the address on which it listens. */
export interface EngineBehaviour {
  readonly vm: string;
  readonly zone: string;
  readonly models: readonly string[];
  readonly incarnation: number;
  /** Maximum number of requests in the running batch. */
  readonly capacity: number;
  /** Maximum number of waiting requests; further ones are rejected. */
  readonly waitingLimit: number;
  /** Tokens generated per second for a request that runs alone. */
  readonly tokensPerSecond: number;
  /** Fraction by which each additional request in the batch lengthens a step. */
  readonly batchSlowdown: number;
  /** Prompt tokens computed per second during prefill; cached ones are skipped. */
  readonly prefillTokensPerSecond: number;
  /** Capacity of the prefix cache in tokens. */
  readonly cacheTokens: number;
  /** Time for which the stream of an ended request can still be resumed. */
  readonly linger: Milliseconds;
  /** Maximum age of the load that the metrics report. */
  readonly metricsLag: Milliseconds;
  /** Time until a cache event is published. */
  readonly cacheEventLag: Milliseconds;
  /** Probability that a cache event is never published. */
  readonly cacheEventLoss: number;
  /** Whether an order with a lower fencing number is rejected. */
  readonly checksFence: boolean;
  /** A request with this text in a message crashes the engine; empty disables it. */
  readonly crashMarker: string;
  readonly crashDowntime: Milliseconds;
  readonly seed: number;
}

export const DEFAULT_ENGINE_BEHAVIOUR: EngineBehaviour = {
  vm: 'engine-1',
  zone: 'zone-1',
  models: ['drafting'],
  incarnation: 1,
  capacity: 16,
  waitingLimit: 4,
  tokensPerSecond: 120,
  batchSlowdown: 0.04,
  prefillTokensPerSecond: 20_000,
  cacheTokens: 100_000,
  linger: milliseconds(60_000),
  metricsLag: milliseconds(1000),
  cacheEventLag: milliseconds(1500),
  cacheEventLoss: 0.05,
  checksFence: true,
  crashMarker: '[[crash]]',
  crashDowntime: milliseconds(2000),
  seed: 1,
};

/** Returns the options with defaults for properties that are absent or undefined. */
export function engineBehaviour(
  options: Partial<EngineBehaviour>,
): EngineBehaviour {
  const definedEntries = Object.entries<unknown>({ ...options }).filter(
    ([, value]) => value !== undefined,
  );
  return { ...DEFAULT_ENGINE_BEHAVIOUR, ...Object.fromEntries(definedEntries) };
}
