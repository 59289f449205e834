/** A request for a permit to send to an endpoint with a limit, its answer, and their message formats. */
import { z } from 'zod';

import { endpointId, requestId, serviceId, teamId } from '../types/ids';
import type { EndpointId, RequestId, ServiceId, TeamId } from '../types/ids';
import { milliseconds } from '../types/units';
import type { Milliseconds } from '../types/units';

const MAX_ENDPOINTS = 1000;
const MAX_RATE = 10_000;
const MAX_RANK = 1000;
const MAX_WAIT_MS = 60_000;
const MAX_LIFETIME_MS = 3_600_000;
const nameSchema = z.string().min(1).max(200);

export interface LimitedEndpoint {
  readonly id: EndpointId;
  /** Requests a second that the endpoint accepts from all routers; undefined if it does not say. */
  readonly perSecond: number | undefined;
  /** Requests that it can run at a time; undefined if more do no harm. */
  readonly concurrent: number | undefined;
}

export interface PermitQuery {
  /** Unique among the queries of all routers that wait. */
  readonly request: RequestId;
  readonly service: ServiceId;
  /** Endpoints of which any will do, the preferred one first. */
  readonly endpoints: readonly LimitedEndpoint[];
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Empty if requests have no team. */
  readonly team: TeamId;
  /** Longest time for which the query may wait for a permit. */
  readonly maxWait: Milliseconds;
  /** Time after which the request has ended in any case. */
  readonly lifetime: Milliseconds;
}

/** A permit that is given back, as its request has ended. */
export interface PermitReturn {
  readonly request: RequestId;
  readonly endpoint: EndpointId;
  /** Whether the endpoint rejected the request for want of room. */
  readonly wasRejected: boolean;
}

export type PermitAnswer =
  | { readonly kind: 'granted'; readonly endpoint: EndpointId }
  /** `retryAfter` is the expected time until such a query is granted. */
  | { readonly kind: 'refused'; readonly retryAfter: Milliseconds };

export const permitQuerySchema = z
  .object({
    request: nameSchema,
    service: nameSchema,
    endpoints: z
      .array(
        z.tuple([
          nameSchema,
          z.number().min(0).max(MAX_RATE).nullable(),
          z.number().min(0).max(MAX_RATE).nullable(),
        ]),
      )
      .min(1)
      .max(MAX_ENDPOINTS),
    rank: z.number().min(-MAX_RANK).max(MAX_RANK),
    team: z.string().max(200),
    maxWait: z.number().min(0).max(MAX_WAIT_MS),
    lifetime: z.number().min(0).max(MAX_LIFETIME_MS),
    /** Whether the query comes from a router that was itself asked. */
    isForwarded: z.boolean(),
  })
  .transform(message => ({
    query: {
      request: requestId(message.request),
      service: serviceId(message.service),
      endpoints: message.endpoints.map(([id, perSecond, concurrent]) => ({
        id: endpointId(id),
        perSecond: perSecond ?? undefined,
        concurrent: concurrent ?? undefined,
      })),
      rank: message.rank,
      team: teamId(message.team),
      maxWait: milliseconds(message.maxWait),
      lifetime: milliseconds(message.lifetime),
    } satisfies PermitQuery,
    isForwarded: message.isForwarded,
  }));

export type PermitMessage = z.input<typeof permitQuerySchema>;

export function permitMessage(
  { endpoints, ...query }: PermitQuery,
  isForwarded: boolean,
): PermitMessage {
  return {
    ...query,
    endpoints: endpoints.map(({ id, perSecond, concurrent }) => [
      id,
      perSecond ?? null,
      concurrent ?? null,
    ]),
    isForwarded,
  };
}

export const permitAnswerSchema = z.union([
  z
    .object({ kind: z.literal('granted'), endpoint: nameSchema })
    .transform(({ kind, endpoint }): PermitAnswer => ({
      kind,
      endpoint: endpointId(endpoint),
    })),
  z
    .object({ kind: z.literal('refused'), retryAfter: z.number().min(0) })
    .transform(({ kind, retryAfter }): PermitAnswer => ({
      kind,
      retryAfter: milliseconds(retryAfter),
    })),
]);

export const permitReturnSchema = z
  .object({
    request: nameSchema,
    endpoint: nameSchema,
    wasRejected: z.boolean(),
    /** Whether it comes from a router to which it was given back. */
    isForwarded: z.boolean(),
  })
  .transform(({ request, endpoint, wasRejected, isForwarded }) => ({
    permit: {
      request: requestId(request),
      endpoint: endpointId(endpoint),
      wasRejected,
    } satisfies PermitReturn,
    isForwarded,
  }));
