/** Schema of the status that a router returns to operators: about itself and its view of the fleet. */
import { z } from 'zod';

const text = z.string();

export const statusSchema = z.object({
  router: z.object({
    id: text,
    incarnation: z.number(),
    zone: text,
    /** Version of the program. */
    program: text,
    ready: z.boolean(),
    leaving: z.boolean(),
    upSeconds: z.number(),
  }),
  process: z.object({
    /** User and system CPU time since the start of the process. */
    cpuSeconds: z.number(),
    /** Resident set size of the process. */
    memoryBytes: z.number(),
    /** Log lines that were not written; absent in older versions of the program. */
    logLinesDropped: z.int().min(0).optional(),
  }),
  configuration: z.object({
    version: z.number(),
    storeUp: z.boolean(),
    /** Problem with the stored configuration, if there is one. */
    problem: text.optional(),
    /** Number of settings in the configuration that this version of the program does not know. */
    ignoredSettings: z.number(),
  }),
  routers: z.array(
    z.object({
      id: text,
      zone: text,
      phase: text,
      connected: z.boolean(),
      /** Configuration version of that router, as last received. */
      configuration: z.number().optional(),
    }),
  ),
  endpoints: z.array(
    z.object({
      id: text,
      zone: text,
      serving: text,
      phase: text,
      load: z.number(),
      /** Load bound, above which the endpoint receives no requests. */
      bound: z.number(),
      capacity: z.number(),
      ejected: z.boolean(),
      /** Why the endpoint receives no new requests, if it receives none. */
      why: text.optional(),
    }),
  ),
  leases: z.array(
    z.object({
      id: text,
      holder: text.optional(),
      fence: z.number(),
      expiresInMs: z.number().optional(),
    }),
  ),
  /** Request counts of this router by result; `told.` marks outcomes that were reported to callers. */
  outcomes: z.record(text, z.number()),
  /** Bytes per second between this router and its peers, in both directions, without TCP and IP headers. */
  controlBytesPerSecond: z.number(),
});

export type FleetStatus = z.infer<typeof statusSchema>;

/** Provides a router's status. */
export abstract class StatusSource {
  abstract status(): FleetStatus;
}
