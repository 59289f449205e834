/**
 * Interface to the protocol of callers. An adapter implements it with the
 * header names and body formats of its platform.
 */
import type { Prompt } from '@sesamegrade/core/prompts/prompt-chain';
import type { RequestId } from '@sesamegrade/core/types/ids';
import type { Result } from '@sesamegrade/core/types/result';
import type { Milliseconds } from '@sesamegrade/core/types/units';

/** Alternating header names and values, as in Node's `rawHeaders`. */
export type HeaderList = readonly string[];

/** The parsed head of a caller's request. */
export interface RequestHead {
  readonly requestId: RequestId;
  readonly method: string;
  /** Path and query, forwarded unchanged. */
  readonly target: string;
  readonly host: string;
  readonly path: string;
  /** API key that identifies the caller's team. */
  readonly key: string | undefined;
  /** Time after which the caller gives up, counted from the arrival of the request. */
  readonly callerTimeout: Milliseconds | undefined;
  readonly prompt: Prompt | undefined;
  /** Id of the last event that the caller received of an earlier response. */
  readonly lastEventId: number | undefined;
  /** Earlier request of the caller whose response brought the first event of the stream that this one resumes. */
  readonly begunBy: RequestId | undefined;
  /** The caller's headers that are forwarded to the endpoint. */
  readonly forwardedHeaders: HeaderList;
}

/** A request head that cannot be parsed. */
export interface RequestHeadFailure {
  readonly kind: 'malformed-head';
  readonly detail: string;
}

/** Why the router itself refuses a request. */
export type CallerRefusal =
  | { readonly kind: 'malformed'; readonly detail: string }
  | { readonly kind: 'body-too-large' }
  | { readonly kind: 'no-route' }
  | { readonly kind: 'unknown-key' }
  /** No endpoint ran the request or will run it, so that the caller may retry it. */
  | {
      readonly kind: 'not-run';
      readonly cause: string;
      readonly retryAfter: Milliseconds;
    }
  /** An endpoint may have run the request; a retry could run it twice. */
  | { readonly kind: 'may-have-run'; readonly cause: string }
  | { readonly kind: 'timeout' };

/** A response made by the router itself. */
export interface RefusalResponse {
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: string;
}

export abstract class CallerProtocol {
  abstract readHead(
    method: string,
    target: string,
    headers: HeaderList,
  ): Result<RequestHead, RequestHeadFailure>;

  /**
   * Builds the response to a refused request; the id is unknown when the head
   * could not be parsed.
   */
  abstract refusalResponse(
    refusal: CallerRefusal,
    requestId: RequestId | undefined,
  ): RefusalResponse;
}
