/** How one attempt at an endpoint ended, classified by what that shows about its execution. */

export type AttemptResult =
  /** No connection was established, so nothing was sent. */
  | { readonly kind: 'not-connected' }
  /** The endpoint rejected the request and stated that it did not run it. */
  | { readonly kind: 'declined'; readonly decline: AttemptRejection }
  /** A complete response was received, and no part of it was passed on. */
  | { readonly kind: 'answered'; readonly status: number }
  /** The complete response was passed on to the caller. */
  | { readonly kind: 'delivered'; readonly status: number }
  /**
   * The response ended with its connection: it is complete only if the endpoint closed
   * that, and not the system as a process ended.
   */
  | { readonly kind: 'unproven-end' }
  /** The connection was lost, or the response was not a valid response to this request. */
  | {
      readonly kind: 'broken';
      readonly breakage: AttemptFailure;
      /** Bytes of the request that were not written when the endpoint ended the connection. */
      readonly unwrittenBytes?: number;
    }
  /** The endpoint sent nothing for too long, and another one has taken the request over. */
  | { readonly kind: 'silent' }
  /** The endpoint before, which had been silent, went on; the attempt was cancelled. */
  | { readonly kind: 'superseded'; readonly wasSent: boolean }
  /** The router gave the attempt up before its first event, as its stream could not be recorded. */
  | { readonly kind: 'withdrawn' }
  /** The deadline of the request passed. */
  | { readonly kind: 'expired' }
  /** The router had to answer before it exits. */
  | { readonly kind: 'stopping'; readonly wasSent: boolean }
  | { readonly kind: 'caller-left' };

export type AttemptRejection =
  /** The endpoint has no free slot and its queue is full. */
  | 'full'
  /** Another instance has the address, or the instance runs another version. */
  | 'other-instance'
  /** The deadline passed in the endpoint's queue. */
  | 'late'
  | 'invalid';

export type AttemptFailure =
  | 'reset'
  /** The connection ended while the request was being written, and nothing else marked the end of the response. */
  | 'unwritten-request'
  /** The connection was closed as the endpoint, or a router between, ended or was not reached any more. */
  | 'process-end'
  /** The response belongs to another request. */
  | 'foreign-answer'
  /**
   * A success without the receipt that endpoints add to a response, or in an
   * encoding that was not requested.
   */
  | 'unproven-answer'
  /** The bytes are not a valid HTTP response, or the body is shorter than announced. */
  | 'malformed'
  /** The events of a stream are out of order. */
  | 'event-order'
  /** The response ended within an event. */
  | 'partial-event'
  /** The connection closed before the first event, and nothing else marked the end of the stream. */
  | 'no-event';

/** Whether the request may have run in this attempt. */
export function mayHaveRun(result: AttemptResult): boolean {
  return result.kind === 'stopping' || result.kind === 'superseded'
    ? result.wasSent
    : result.kind !== 'not-connected' && result.kind !== 'declined';
}
