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
const nameSchema = z.string().min(1).max(200);

export interface LimitedEndpoint {
  readonly id: EndpointId;
  /** Requests a second that the endpoint accepts from all routers. */
  readonly perSecond: number;
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
      .array(z.tuple([nameSchema, z.number().min(0).max(MAX_RATE)]))
      .min(1)
      .max(MAX_ENDPOINTS),
    rank: z.number().min(-MAX_RANK).max(MAX_RANK),
    team: z.string().max(200),
    maxWait: z.number().min(0).max(MAX_WAIT_MS),
    /** Whether the query comes from a router that was itself asked. */
    isForwarded: z.boolean(),
  })
  .transform(message => ({
    query: {
      request: requestId(message.request),
      service: serviceId(message.service),
      endpoints: message.endpoints.map(([id, perSecond]) => ({
        id: endpointId(id),
        perSecond,
      })),
      rank: message.rank,
      team: teamId(message.team),
      maxWait: milliseconds(message.maxWait),
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
    endpoints: endpoints.map(({ id, perSecond }) => [id, perSecond]),
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
