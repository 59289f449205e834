/** Row format of a lease. Rows are never deleted, so that fencing numbers only rise. */
import { z } from 'zod';

import type { FencingNumber } from '../types/ids';
import { fencingNumber } from '../types/ids';
import type { Result } from '../types/result';
import { fail, succeed } from '../types/result';
import type { Milliseconds } from '../types/units';
import { milliseconds } from '../types/units';

/** Table of the lease rows. */
export const LEASE_TABLE = 'leases';

/** Row format that this program writes, and the highest that it reads. */
export const LEASE_FORMAT = 1;

/** Maximum duration that a row may state, as other routers wait for it to pass. */
const MAX_LEASE_MS = 600_000;

export interface LeaseRow {
  /** Id of the process that holds the lease, or held it last. */
  readonly holder: string;
  /** Id of the write, by which its writer recognizes it when the response was lost. */
  readonly stamp: string;
  readonly fence: FencingNumber;
  readonly duration: Milliseconds;
  /** Whether the holder released the lease and no longer acts under it. */
  readonly released: boolean;
}

/** Why a stored row cannot be used. Such a row is left unchanged. */
export type LeaseRowFailure =
  | { readonly kind: 'newer-format'; readonly format: number }
  | { readonly kind: 'malformed-row'; readonly detail: string };

const formatSchema = z.object({ format: z.number().int().positive() });

const rowSchema = z.object({
  format: z.literal(LEASE_FORMAT),
  holder: z.string().min(1),
  stamp: z.string().min(1),
  fence: z.number().int().positive(),
  lengthMs: z.number().positive().max(MAX_LEASE_MS),
  released: z.boolean(),
});

/** Encodes a row for storage. */
export function encodeLeaseRow(row: LeaseRow): unknown {
  const { duration: lengthMs, ...fields } = row;
  return { format: LEASE_FORMAT, lengthMs, ...fields };
}

/** Validates and decodes a stored value. */
export function parseLeaseRow(
  value: unknown,
): Result<LeaseRow, LeaseRowFailure> {
  const header = formatSchema.safeParse(value);
  if (header.success && header.data.format > LEASE_FORMAT) {
    return fail({ kind: 'newer-format', format: header.data.format });
  }
  const parsed = rowSchema.safeParse(value);
  if (!parsed.success) {
    return fail({ kind: 'malformed-row', detail: parsed.error.message });
  }
  const { holder, stamp, fence, lengthMs, released } = parsed.data;
  return succeed({
    holder,
    stamp,
    fence: fencingNumber(fence),
    duration: milliseconds(lengthMs),
    released,
  });
}
