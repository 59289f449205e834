/** What a router tells an operator about itself and the fleet as it sees it. */
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
    /** Processor time since the start, of user and system. */
    cpuSeconds: z.number(),
    /** Memory that the process has resident. */
    memoryBytes: z.number(),
  }),
  configuration: z.object({
    version: z.number(),
    storeUp: z.boolean(),
    /** What is wrong with the stored configuration, if anything. */
    problem: text.optional(),
    /** Values in the configuration that this program does not know. */
    ignoredSettings: z.number(),
  }),
  routers: z.array(
    z.object({
      id: text,
      zone: text,
      phase: text,
      connected: z.boolean(),
      /** Version in force there, as far as known. */
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
      /** Load above which no request is placed there. */
      bound: z.number(),
      capacity: z.number(),
      ejected: z.boolean(),
      /** Why it gets no new work, when it gets none. */
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
  /** Requests that ended here, by how they ended. */
  outcomes: z.record(text, z.number()),
  /** Bytes per second between routers, both directions, with estimated headers. */
  controlBytesPerSecond: z.number(),
});

export type FleetStatus = z.infer<typeof statusSchema>;

/** Gathers a router's view of the fleet. */
export abstract class StatusSource {
  abstract status(): FleetStatus;
}
