/** Faults of the stand-in platform that `POST /control/faults` sets. */
import { z } from 'zod';

const rate = z.number().nonnegative().nullable();

export const platformFaultsSchema = z.strictObject({
  /** Everything answers 503. */
  outage: z.boolean().optional(),
  /** Delay of every call before it takes effect. */
  slownessMs: z.number().nonnegative().optional(),
  /** Delay of every answer after its call took effect. */
  answerDelayMs: z.number().nonnegative().optional(),
  /** Probability that a write takes effect and its answer never comes. */
  lostAnswers: z.number().min(0).max(1).optional(),
  /** Null takes the limit away. */
  readsPerSecond: rate.optional(),
  writesPerSecond: rate.optional(),
  vmListLagMs: z.number().nonnegative().optional(),
  weightSlots: z.number().int().nonnegative().optional(),
  weightLoadMs: z.number().nonnegative().optional(),
});

export type PlatformFaultSettings = z.infer<typeof platformFaultsSchema>;
