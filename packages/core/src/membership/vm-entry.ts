/**
 * Validates the platform's list of VMs. A malformed entry is dropped, never the
 * whole list.
 */
import { z } from 'zod';

import { hostSchema, portSchema } from '../types/address';

/**
 * Highest accepted incarnation; as Unix milliseconds it lies in the year 2248.
 */
export const MAX_INCARNATION = 2 ** 43;

const MAX_NAME_LENGTH = 200;
const MAX_MODELS_PER_ENGINE = 256;
const MAX_CAPACITY = 100_000;

export const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);
export const incarnationSchema = z.int().min(0).max(MAX_INCARNATION);

const COMMON_FIELDS = {
  vm: nameSchema,
  host: hostSchema,
  port: portSchema,
  zone: nameSchema,
  state: z.enum(['live', 'leaving']),
  incarnation: incarnationSchema,
  capacity: z.int().min(0).max(MAX_CAPACITY),
};

export const vmEntrySchema = z.discriminatedUnion('kind', [
  z.object({ ...COMMON_FIELDS, kind: z.literal('router') }),
  z.object({
    ...COMMON_FIELDS,
    kind: z.literal('engine'),
    models: z.array(nameSchema).max(MAX_MODELS_PER_ENGINE).default([]),
  }),
  z.object({
    ...COMMON_FIELDS,
    kind: z.literal('service'),
    service: nameSchema,
  }),
]);

/** A valid entry of the list. */
export type ListedVm = z.infer<typeof vmEntrySchema>;

/** The valid entries, and counts of the others. */
export interface ParsedVmList {
  readonly vms: readonly ListedVm[];
  readonly malformed: number;
  /** Repeated entries for the same VM. */
  readonly contradictory: number;
}

/** Prefers the later process start and, for the same one, the sticky state. */
function outranks(left: ListedVm, right: ListedVm): boolean {
  if (left.incarnation !== right.incarnation) {
    return left.incarnation > right.incarnation;
  }
  return left.state === 'leaving' && right.state === 'live';
}

/** Validates a list and returns one entry per VM. */
export function parseVmList(entries: readonly unknown[]): ParsedVmList {
  const byVm = new Map<string, ListedVm>();
  let malformed = 0;
  let contradictory = 0;
  for (const entry of entries) {
    const parsed = vmEntrySchema.safeParse(entry);
    if (!parsed.success) {
      malformed += 1;
      continue;
    }
    const existing = byVm.get(parsed.data.vm);
    if (existing) {
      contradictory += 1;
    }
    if (!existing || outranks(parsed.data, existing)) {
      byVm.set(parsed.data.vm, parsed.data);
    }
  }
  return { vms: [...byVm.values()], malformed, contradictory };
}
