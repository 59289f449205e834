/**
 * Interface to the protocol of endpoints. An adapter implements it with the
 * header names and body formats of its platform.
 */
import type { LimitStatement } from '@sesamegrade/core/endpoint-limits/endpoint-limits';
import type { Address } from '@sesamegrade/core/types/endpoint';
import type {
  EndpointId,
  PromptPartId,
  TeamId,
} from '@sesamegrade/core/types/ids';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { Result } from '@sesamegrade/core/types/result';
import type { DecodeFailure } from '../store/deployment-codec';
import type { RequestHead, HeaderList } from '../callers/caller-protocol';

/** Metadata that the router adds to a forwarded request. */
export interface ForwardingMetadata {
  /** The instance that the request is for; another instance at the same address declines it. */
  readonly endpoint: EndpointId;
  /** Time until the caller or the route gives up. */
  readonly remaining: Milliseconds;
  readonly team: TeamId | undefined;
  /** Id of the event after which the stream is to be resumed. */
  readonly lastEventId: number | undefined;
  /** Engine from which the endpoint is to fetch the prompt parts that it has not cached. */
  readonly fetchFrom: Address | undefined;
  /** Priority at the engine; 0 is the highest. */
  readonly priority: number | undefined;
}

/** The load, in requests, and the speed that an endpoint reports of itself. */
export interface EndpointCapacityReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Time that work takes at this moment, as a multiple of the usual time; undefined if not stated. */
  readonly slowdown: number | undefined;
}

/**
 * What marks the end of a response body: nothing when there is none, the
 * announced length, the last chunk, or only the end of the connection.
 */
export type BodyFraming = 'none' | 'length' | 'chunked' | 'connection';

/** The head of an endpoint's response. */
export interface ResponseHead extends LimitStatement {
  readonly status: number;
  /** Headers that are passed on to the caller; without connection headers and Content-Length. */
  readonly headers: HeaderList;
  /** Id of the request that the response claims to belong to. */
  readonly requestId: string | undefined;
  /** Whether the response carries the endpoint's receipt, a proof that it ran the request. */
  readonly hasReceipt: boolean;
  /** Whether the endpoint states that it did not run the request. */
  readonly notRun: boolean;
  /** Whether the body has a content encoding, although none was requested. */
  readonly isEncoded: boolean;
  readonly load: EndpointCapacityReport | undefined;
  /** Announced length of the body in bytes. */
  readonly length: number | undefined;
  readonly framing: BodyFraming;
  /** Time for which the endpoint keeps an idle connection open. */
  readonly keepAliveTimeout: Milliseconds | undefined;
  /** Whether the endpoint states that it is about to stop. */
  readonly isLeaving: boolean;
  /** Time for which the endpoint wants no more requests from this router. */
  readonly retryAfter: Milliseconds | undefined;
}

/** What a process reports of itself. */
export interface EndpointReport {
  /** Unix milliseconds of its start, equal to that of its entry; undefined if it names none. */
  readonly startedAt: number | undefined;
}

export abstract class EndpointProtocol {
  /** Returns the headers of a forwarded request, without those of the body. */
  abstract requestHeaders(
    head: RequestHead,
    metadata: ForwardingMetadata,
  ): string[];

  /** Parses the head of a response; never fails. */
  abstract readResponse(status: number, headers: HeaderList): ResponseHead;

  /** Request path of an engine's list of cached prompt parts. */
  abstract readonly cacheListTarget: string;

  /** Request path of what an endpoint reports of itself. */
  abstract readonly reportTarget: string;

  /** Decodes what an endpoint reports of itself. */
  abstract readReport(body: Uint8Array): Result<EndpointReport, DecodeFailure>;

  /** Decodes an engine's list of cached prompt parts. */
  abstract readCacheList(
    body: Uint8Array,
  ): Result<PromptPartId[], DecodeFailure>;
}
