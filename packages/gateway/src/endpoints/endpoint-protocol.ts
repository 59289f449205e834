/** How endpoints speak; an adapter names the headers and bodies. */
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

/** What the router adds to a request it forwards. */
export interface ForwardingMetadata {
  /** The instance that is meant; another one at the address declines. */
  readonly endpoint: EndpointId;
  readonly remaining: Milliseconds;
  readonly team: TeamId | undefined;
  /** Number of the event after which a stream goes on. */
  readonly lastEventId: number | undefined;
  /** Engine from which the endpoint is to fetch what it lacks of the prompt. */
  readonly fetchFrom: Address | undefined;
  /** Urgency at an engine, where 0 is first. */
  readonly priority: number | undefined;
}

/** What an endpoint says of its load. */
export interface EndpointLoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** The head of an endpoint's answer. */
export interface ResponseHead {
  readonly status: number;
  /** What the caller is given, without those of the connection and the length. */
  readonly headers: HeaderList;
  /** The request that the answer names. */
  readonly requestId: string | undefined;
  /** Whether the answer bears the endpoint's receipt. */
  readonly hasReceipt: boolean;
  /** Whether the endpoint states that it ran nothing. */
  readonly notRun: boolean;
  /** Whether the body has an encoding that nobody asked for. */
  readonly isEncoded: boolean;
  readonly load: EndpointLoadReport | undefined;
  /** Announced length of the body in bytes. */
  readonly length: number | undefined;
  /** Whether the body's end shows only in the end of the connection. */
  readonly isUnframed: boolean;
  /** Time for which the endpoint keeps the connection unused. */
  readonly keepAliveTimeout: Milliseconds | undefined;
}

export abstract class EndpointProtocol {
  /** Returns the headers of a forwarded request, without those of the body. */
  abstract requestHeaders(
    head: RequestHead,
    marks: ForwardingMetadata,
  ): string[];

  abstract readResponse(status: number, headers: HeaderList): ResponseHead;

  /** Path of an engine's list of the prompt parts that it holds. */
  abstract readonly cacheListTarget: string;

  /** Reads the parts from an engine's list. */
  abstract readCacheList(
    body: Uint8Array,
  ): Result<PromptPartId[], DecodeFailure>;
}
