/** Pools of interchangeable endpoints and how much room they have. */
import type { Branded } from '../types/brand';

/** One model or one plain service; its endpoints can stand in for each other. */
export type PoolId = Branded<string, 'PoolId'>;

export const poolId = (value: string) => value as PoolId;

/** Slots of a pool as a router sees them; a slot runs one request. */
export interface PoolCapacity {
  /** Slots below the bound on all endpoints of the pool. */
  readonly slots: number;
  /** Slots that are free at present. */
  readonly free: number;
}

/** Largest number of slots that is believed of one pool. */
export const MAX_POOL_SLOTS = 1_000_000;

function whole(value: number, limit: number): number {
  return Number.isFinite(value) ? Math.min(Math.max(0, value), limit) : 0;
}

/** Brings a reported capacity into its possible range. */
export function clampCapacity(reported: PoolCapacity): PoolCapacity {
  const slots = whole(reported.slots, MAX_POOL_SLOTS);
  return { slots, free: whole(reported.free, slots) };
}
