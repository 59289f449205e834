/** Faults of the stand-in platform that `POST /control/faults` sets. */
import { z } from 'zod';

const rateSchema = z.number().nonnegative().nullable();

export const platformFaultsSchema = z.strictObject({
  /** Responds 503 to every request. */
  outage: z.boolean().optional(),
  /** Delay of every request before it takes effect, in milliseconds. */
  slownessMs: z.number().nonnegative().optional(),
  /** Delay of every response after its request took effect, in milliseconds. */
  answerDelayMs: z.number().nonnegative().optional(),
  /** Probability that a write takes effect and its connection is closed without a response. */
  lostAnswers: z.number().min(0).max(1).optional(),
  /** Null removes the limit. */
  readsPerSecond: rateSchema.optional(),
  writesPerSecond: rateSchema.optional(),
  vmListLagMs: z.number().nonnegative().optional(),
  weightSlots: z.number().int().nonnegative().optional(),
  weightLoadMs: z.number().nonnegative().optional(),
});

export type PlatformFaultSettings = z.infer<typeof platformFaultsSchema>;
