/** Schemas of the platform's HTTP responses; a response that does not match is discarded. */
import { z } from 'zod';

const versionSchema = z.number().int().nonnegative();

export const rowSchema = z.object({
  table: z.string(),
  key: z.string(),
  version: versionSchema,
  value: z.unknown(),
});

export const writtenRowSchema = z.object({ version: versionSchema });

export const writtenSchema = z.object({ versions: z.array(versionSchema) });

export const conflictSchema = z.object({
  operation: z.number().int().nonnegative(),
});

export const pageSchema = z.object({
  rows: z.array(rowSchema),
  next: z.string().optional(),
});

export const vmListSchema = z.object({
  vms: z.array(
    z.object({
      vm: z.string().min(1),
      kind: z.enum(['router', 'engine', 'service']),
      service: z.string().optional(),
      models: z.array(z.string()).optional(),
      host: z.string().min(1),
      port: z.number().int().min(1).max(65535),
      zone: z.string(),
      state: z.enum(['live', 'leaving']),
      incarnation: z.number().int().nonnegative(),
      capacity: z.number().nonnegative(),
    }),
  ),
});
