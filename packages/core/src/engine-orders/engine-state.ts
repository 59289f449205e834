/** What an engine is told to hold, and what it says that it holds. */
import { z } from 'zod';

import type { FencingNumber, LeaseId, ModelId } from '../types/ids';
import { fencingNumber, modelId } from '../types/ids';

/** All that an order decides about an engine. */
export interface EngineState {
  readonly model: ModelId;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: string;
}

/** An absolute order: hold exactly this. Sending it again changes nothing. */
export interface EngineOrder extends EngineState {
  readonly fence: FencingNumber;
  readonly lease: LeaseId;
}

/** An engine's own account. */
export interface EngineReport extends EngineState {
  /** Highest number that any order carried to it. */
  readonly highestFence: FencingNumber;
  /** Whether weights are being loaded. */
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

/** Checks an engine's report; undefined when it is malformed. */
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

/** True when both need the same weights. */
export function sameWeights(left: EngineState, right: EngineState): boolean {
  return left.model === right.model && left.version === right.version;
}

/** True when both say the same; adapters have no order. */
export function sameState(left: EngineState, right: EngineState): boolean {
  return (
    sameWeights(left, right) &&
    left.role === right.role &&
    left.adapters.length === right.adapters.length &&
    left.adapters.every(adapter => right.adapters.includes(adapter))
  );
}
