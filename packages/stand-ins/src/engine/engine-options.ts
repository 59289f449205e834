/** What a stand-in engine can be told at its start. */
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';

/** Behaviour of the engine, apart from where it listens. */
export interface EngineBehaviour {
  readonly vm: string;
  readonly zone: string;
  readonly models: readonly string[];
  readonly incarnation: number;
  /** Requests that run at once in the batch. */
  readonly capacity: number;
  /** Requests that may wait besides; more are refused. */
  readonly waitingLimit: number;
  /** Tokens per second of a request that runs alone. */
  readonly tokensPerSecond: number;
  /** Part by which each further request in the batch lengthens a step. */
  readonly batchSlowdown: number;
  /** Prompt tokens per second that are computed when not cached. */
  readonly prefillTokensPerSecond: number;
  /** Tokens that the prefix cache holds. */
  readonly cacheTokens: number;
  /** How long a finished stream can still be read. */
  readonly linger: Milliseconds;
  readonly metricsLag: Milliseconds;
  readonly cacheEventLag: Milliseconds;
  /** Part of the cache events that are never published. */
  readonly cacheEventLoss: number;
  /** Whether an order with a lower fencing number is refused. */
  readonly checksFence: boolean;
  /** A request with this text in a message crashes the engine. */
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

/** Fills in the defaults for what is absent or undefined. */
export function engineBehaviour(
  options: Partial<EngineBehaviour>,
): EngineBehaviour {
  const given = Object.entries<unknown>({ ...options }).filter(
    ([, value]) => value !== undefined,
  );
  return { ...DEFAULT_ENGINE_BEHAVIOUR, ...Object.fromEntries(given) };
}
