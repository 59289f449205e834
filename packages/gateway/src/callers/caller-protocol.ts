/** How callers speak; an adapter names the headers and bodies. */
import type { Prompt } from '@sesamegrade/core/prompts/prompt-chain';
import type { RequestId } from '@sesamegrade/core/types/ids';
import type { Result } from '@sesamegrade/core/types/result';
import type { Milliseconds } from '@sesamegrade/core/types/units';

/** Header names and values in turn, as they travel. */
export type HeaderList = readonly string[];

/** What a request says of itself before its body is read. */
export interface RequestHead {
  readonly requestId: RequestId;
  readonly method: string;
  /** Path and query, forwarded unchanged. */
  readonly target: string;
  readonly host: string;
  readonly path: string;
  readonly key: string | undefined;
  /** How long the caller waits. */
  readonly callerTimeout: Milliseconds | undefined;
  readonly prompt: Prompt | undefined;
  /** Number of the last event that the caller has of an earlier answer. */
  readonly lastEventId: number | undefined;
  /** What an endpoint is given of the caller's headers. */
  readonly forwardedHeaders: HeaderList;
}

/** A message that is no request to be served. */
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
  /** Nothing of the request ran or will run. */
  | {
      readonly kind: 'not-run';
      readonly cause: string;
      readonly retryAfter: Milliseconds;
    }
  | { readonly kind: 'may-have-run'; readonly cause: string }
  | { readonly kind: 'timeout' };

/** An answer of the router's own. */
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

  abstract refusalResponse(
    refusal: CallerRefusal,
    requestId: RequestId | undefined,
  ): RefusalResponse;
}
