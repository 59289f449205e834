/** The stored record of a lease. Rows stay for good, so that fencing numbers only rise. */
import { z } from 'zod';

import type { FencingNumber } from '../types/ids';
import { fencingNumber } from '../types/ids';
import type { Result } from '../types/result';
import { fail, succeed } from '../types/result';
import type { Milliseconds } from '../types/units';
import { milliseconds } from '../types/units';

/** Table that holds the leases. */
export const LEASE_TABLE = 'leases';

/** Highest row format that this program reads; it writes the same. */
export const LEASE_FORMAT = 1;

/** Longest lease that a row may ask others to wait for, in milliseconds. */
const MAX_LEASE_MS = 600_000;

export interface LeaseRow {
  /** Mark of the process that holds it, or held it last. */
  readonly holder: string;
  /** Mark of the write, so that its writer knows it again. */
  readonly stamp: string;
  readonly fence: FencingNumber;
  readonly duration: Milliseconds;
  /** The holder gave it up and acts no more. */
  readonly released: boolean;
}

/** Why a stored row cannot be used. It is left as it is. */
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

/** Returns the value to store for a row. */
export function encodeLeaseRow(row: LeaseRow): unknown {
  const { duration: lengthMs, ...rest } = row;
  return { format: LEASE_FORMAT, lengthMs, ...rest };
}

/** Checks a stored value. */
export function parseLeaseRow(
  value: unknown,
): Result<LeaseRow, LeaseRowFailure> {
  const head = formatSchema.safeParse(value);
  if (head.success && head.data.format > LEASE_FORMAT) {
    return fail({ kind: 'newer-format', format: head.data.format });
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
