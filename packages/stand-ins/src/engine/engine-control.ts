/** Faults of a stand-in engine that tests and the load tool switch. */
import { z } from 'zod';

export const engineControlSchema = z.strictObject({
  /** Breaks every connection and loses all state, as a marked request does. */
  crash: z.boolean().optional(),
  /** Factor by which everything takes longer; 1 is normal. */
  slowFactor: z.number().positive().optional(),
  /** Refuses new requests and is listed as leaving. */
  leaving: z.boolean().optional(),
  /** Generates nothing for this many milliseconds. */
  stallMs: z.number().nonnegative().optional(),
});

export type EngineControl = z.infer<typeof engineControlSchema>;
