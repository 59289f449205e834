/** Pools of interchangeable endpoints and their capacity. */
import type { Branded } from '../types/brand';

/**
 * Identifies the endpoints of one model or one plain service; each of them can
 * run any request of the pool.
 */
export type PoolId = Branded<string, 'PoolId'>;

export const poolId = (value: string) => value as PoolId;

/** Slots of a pool as seen by one router; a slot runs one request. */
export interface PoolCapacity {
  /** Slots up to the bound, summed over all endpoints of the pool. */
  readonly slots: number;
  readonly free: number;
}

/** Upper bound of the slots of one pool; larger reports are clamped. */
export const MAX_POOL_SLOTS = 1_000_000;

function clamp(value: number, limit: number): number {
  return Number.isFinite(value) ? Math.min(Math.max(0, value), limit) : 0;
}

/** Clamps a reported capacity to valid values; values that are not finite become 0. */
export function clampCapacity(reported: PoolCapacity): PoolCapacity {
  const slots = clamp(reported.slots, MAX_POOL_SLOTS);
  return { slots, free: clamp(reported.free, slots) };
}
