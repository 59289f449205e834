/** Faults that tests and the load tool inject into a stand-in engine. */
import { z } from 'zod';

export const engineControlSchema = z.strictObject({
  /** Destroys every connection and all state, like a request with the crash marker. */
  crash: z.boolean().optional(),
  /** Factor by which prefill and generation are slowed down; 1 is normal speed. */
  slowFactor: z.number().positive().optional(),
  /** Rejects new requests and lists the engine as leaving. */
  leaving: z.boolean().optional(),
  /** Suspends computation for this many milliseconds. */
  stallMs: z.number().nonnegative().optional(),
});

export type EngineControl = z.infer<typeof engineControlSchema>;
