/**
 * Desired state of an engine, the orders that set it, and the engine's report
 * of its actual state.
 */
import { z } from 'zod';

import type { FencingNumber, LeaseId, ModelId } from '../types/ids';
import { fencingNumber, modelId } from '../types/ids';

/** The properties of an engine that orders determine. */
export interface EngineState {
  readonly model: ModelId;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: string;
}

/** Order to assume exactly this state; idempotent. */
export interface EngineOrder extends EngineState {
  readonly fence: FencingNumber;
  readonly lease: LeaseId;
}

/** State that an engine reports for itself. */
export interface EngineReport extends EngineState {
  /** Highest fencing number of any order that the engine received. */
  readonly highestFence: FencingNumber;
  /** Whether the engine is loading weights. */
  readonly loading: boolean;
}

const reportSchema = z.object({
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  role: z.string(),
  highestFence: z.number().int().nonnegative(),
  loading: z.boolean(),
});

/** Validates an engine's report; returns undefined if it is malformed. */
export function parseEngineReport(value: unknown): EngineReport | undefined {
  const parsed = reportSchema.safeParse(value);
  if (!parsed.success) {
    return undefined;
  }
  const { model, highestFence, ...rest } = parsed.data;
  return {
    ...rest,
    model: modelId(model),
    highestFence: fencingNumber(highestFence),
  };
}

/** Whether both states need the same weights. */
export function sameWeights(left: EngineState, right: EngineState): boolean {
  return left.model === right.model && left.version === right.version;
}

/** Whether both states are equal, regardless of the order of adapters. */
export function sameState(left: EngineState, right: EngineState): boolean {
  return (
    sameWeights(left, right) &&
    left.role === right.role &&
    left.adapters.length === right.adapters.length &&
    left.adapters.every(adapter => right.adapters.includes(adapter))
  );
}
