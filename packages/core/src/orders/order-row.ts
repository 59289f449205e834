/**
 * The stored record of a call that must run at most once. The row's key names
 * the team, the service and the caller's idempotency key.
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

/** Table that holds the orders. */
export const ORDER_TABLE = 'orders';

/** Highest row format that this program reads; it writes the same. */
export const ORDER_FORMAT = 1;

/** Largest body in bytes that is kept in the row itself. */
export const MAX_INLINE_RESULT_BYTES = 16_384;

const resultSchema = z.object({
  status: z.number().int().min(100).max(599),
  contentType: z.string(),
  body: z.discriminatedUnion('kind', [
    /** The body in base64. */
    z.object({ kind: z.literal('inline'), base64: z.string() }),
    /** The body is an object of the platform's object store. */
    z.object({ kind: z.literal('object'), key: z.string() }),
    /** The call ran, but its body could not be kept. */
    z.object({ kind: z.literal('dropped') }),
  ]),
});

/** The endpoint's answer as it is kept for callers that repeat the call. */
export type RecordedResult = Readonly<z.output<typeof resultSchema>>;

/** How far an order has come, as far as the store knows. */
export type OrderState =
  /** A router may send it, or has sent it. */
  | { readonly kind: 'claimed' }
  /** It ran, with this answer. */
  | { readonly kind: 'done'; readonly result: RecordedResult }
  /** It was sent and its answer was lost. */
  | { readonly kind: 'unsettled' }
  /** It was never sent and never will be under this token. */
  | { readonly kind: 'withdrawn' };

export interface OrderRow {
  /** The claim's own mark; no two claims share one. */
  readonly token: AttemptId;
  readonly fingerprint: Fingerprint;
  readonly router: RouterId;
  readonly state: OrderState;
}

/** Why a stored row cannot be used. It is left as it is. */
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

/** Returns the row key of a call; each part is escaped, so keys never collide. */
export function orderId(
  team: TeamId,
  service: ServiceId,
  key: IdempotencyKey,
): OrderId {
  const parts = [team, service, key].map(part => encodeURIComponent(part));
  return parts.join('/') as OrderId;
}

/** Returns the value to store for a row. */
export function encodeOrderRow(row: OrderRow): unknown {
  return { format: ORDER_FORMAT, ...row };
}

/** Checks a stored value. */
export function parseOrderRow(
  value: unknown,
): Result<OrderRow, OrderRowFailure> {
  const head = formatSchema.safeParse(value);
  if (head.success && head.data.format > ORDER_FORMAT) {
    return fail({ kind: 'newer-format', format: head.data.format });
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
