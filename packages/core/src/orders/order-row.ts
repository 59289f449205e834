/**
 * Row format of an order: a call that must run at most once. The row's key
 * consists of the team, the service and the caller's idempotency key.
 */
import { z } from 'zod';

import type {
  AttemptId,
  Fingerprint,
  IdempotencyKey,
  RouterId,
  ServiceId,
  TeamId,
} from '../types/ids';
import { attemptId, fingerprint, routerId } from '../types/ids';
import type { Branded } from '../types/brand';
import type { Result } from '../types/result';
import { fail, succeed } from '../types/result';

/** Key of an order's row. */
export type OrderId = Branded<string, 'OrderId'>;

/** Table of the order rows. */
export const ORDER_TABLE = 'orders';

/** Row format that this program writes, and the highest that it reads. */
export const ORDER_FORMAT = 1;

/** Maximum size of a response body that is stored in the row itself. */
export const MAX_INLINE_RESULT_BYTES = 16_384;

const resultSchema = z.object({
  status: z.number().int().min(100).max(599),
  contentType: z.string(),
  body: z.discriminatedUnion('kind', [
    /** The body in base64. */
    z.object({ kind: z.literal('inline'), base64: z.string() }),
    /** The body is in the platform's object store under this key. */
    z.object({ kind: z.literal('object'), key: z.string() }),
    /** The call ran, but its response body could not be stored. */
    z.object({ kind: z.literal('dropped') }),
  ]),
});

/** The endpoint's response as stored for callers that repeat the call. */
export type RecordedResult = Readonly<z.output<typeof resultSchema>>;

/** Stored state of an order. */
export type OrderState =
  /** A router may send the call or has sent it. */
  | { readonly kind: 'claimed' }
  /** The call ran, with this result. */
  | { readonly kind: 'done'; readonly result: RecordedResult }
  /** The call was sent and its response was lost. */
  | { readonly kind: 'unsettled' }
  /** The call was not sent under this token and never will be. */
  | { readonly kind: 'withdrawn' };

export interface OrderRow {
  /** Unique id of the claim. */
  readonly token: AttemptId;
  readonly fingerprint: Fingerprint;
  readonly router: RouterId;
  readonly state: OrderState;
}

/** Why a stored row cannot be used. Such a row is left unchanged. */
export type OrderRowFailure =
  | { readonly kind: 'newer-format'; readonly format: number }
  | { readonly kind: 'malformed-row'; readonly detail: string };

const formatSchema = z.object({ format: z.number().int().positive() });

const rowSchema = z.object({
  format: z.literal(ORDER_FORMAT),
  token: z.string().min(1),
  fingerprint: z.string(),
  router: z.string(),
  state: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('claimed') }),
    z.object({ kind: z.literal('done'), result: resultSchema }),
    z.object({ kind: z.literal('unsettled') }),
    z.object({ kind: z.literal('withdrawn') }),
  ]),
});

/**
 * Returns the row key of a call; each part is escaped, so that keys of
 * different calls differ.
 */
export function orderId(
  team: TeamId,
  service: ServiceId,
  key: IdempotencyKey,
): OrderId {
  const parts = [team, service, key].map(part => encodeURIComponent(part));
  return parts.join('/') as OrderId;
}

/** Encodes a row for storage. */
export function encodeOrderRow(row: OrderRow): unknown {
  return { format: ORDER_FORMAT, ...row };
}

/** Validates and decodes a stored value. */
export function parseOrderRow(
  value: unknown,
): Result<OrderRow, OrderRowFailure> {
  const header = formatSchema.safeParse(value);
  if (header.success && header.data.format > ORDER_FORMAT) {
    return fail({ kind: 'newer-format', format: header.data.format });
  }
  const parsed = rowSchema.safeParse(value);
  if (!parsed.success) {
    return fail({ kind: 'malformed-row', detail: parsed.error.message });
  }
  const { token, router, state } = parsed.data;
  return succeed({
    token: attemptId(token),
    fingerprint: fingerprint(parsed.data.fingerprint),
    router: routerId(router),
    state,
  });
}
