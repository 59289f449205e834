/** Why a request gets no answer from an endpoint. The outcome is added by the request's state. */
import type { EndpointId } from './ids';
import type { Milliseconds } from './units';

/** Reasons that a decision can give before or after a request was sent. */
export type RefusalReason =
  /** The request itself is wrong; `detail` says where and what was expected. */
  | { readonly kind: 'malformed-request'; readonly detail: string }
  | { readonly kind: 'unauthenticated' }
  | { readonly kind: 'unknown-model'; readonly model: string }
  | { readonly kind: 'unknown-service'; readonly service: string }
  | { readonly kind: 'body-too-large'; readonly limitBytes: number }
  | { readonly kind: 'key-required'; readonly service: string }
  /** The same idempotency key was used with another body. */
  | { readonly kind: 'key-conflict' }
  /** The team is over its share or limit while others need the capacity. */
  | { readonly kind: 'team-over-limit'; readonly retryAfter: Milliseconds }
  /** Every engine that could run the request is at its bound. */
  | { readonly kind: 'overloaded'; readonly retryAfter: Milliseconds }
  | { readonly kind: 'no-endpoint'; readonly retryAfter: Milliseconds }
  /** The content crashed endpoints before. */
  | { readonly kind: 'poison-suspect'; readonly retryAfter: Milliseconds }
  | { readonly kind: 'store-unavailable'; readonly retryAfter: Milliseconds }
  | { readonly kind: 'stopping'; readonly retryAfter: Milliseconds }
  | { readonly kind: 'deadline-exceeded' }
  /** The endpoint answered that it did not run the request. */
  | { readonly kind: 'endpoint-refused'; readonly endpoint: EndpointId }
  /** The connection broke after the request was sent. */
  | { readonly kind: 'answer-lost'; readonly endpoint: EndpointId }
  /** An earlier call with this key may have run and left no recorded answer. */
  | { readonly kind: 'order-unsettled' }
  /** The stream to resume is not kept any more. */
  | { readonly kind: 'stream-gone' };
