/**
 * Reasons for refusing a request. The outcome is sent beside the reason; it
 * follows from the request's state.
 */
import type { EndpointId } from './ids';
import type { Milliseconds } from './units';

/**
 * Why a caller gets a refusal instead of an endpoint's response, before or
 * after the request was sent.
 */
export type RefusalReason =
  /** The request is invalid; `detail` names the place and what was expected there. */
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
  /** Endpoints crashed while they ran this content. */
  | { readonly kind: 'poison-suspect'; readonly retryAfter: Milliseconds }
  | { readonly kind: 'store-unavailable'; readonly retryAfter: Milliseconds }
  | { readonly kind: 'stopping'; readonly retryAfter: Milliseconds }
  | { readonly kind: 'deadline-exceeded' }
  /** The endpoint responded that it did not run the request. */
  | { readonly kind: 'endpoint-refused'; readonly endpoint: EndpointId }
  /** The connection was lost after the request was sent. */
  | { readonly kind: 'answer-lost'; readonly endpoint: EndpointId }
  /**
   * An earlier call with this idempotency key may have run, but its response
   * was not recorded.
   */
  | { readonly kind: 'order-unsettled' }
  /** The stream to resume is no longer buffered. */
  | { readonly kind: 'stream-gone' };
