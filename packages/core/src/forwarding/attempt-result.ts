/** How one attempt at an endpoint ended, sorted by what it proves. */

export type AttemptResult =
  /** No connection was made, so no byte was sent. */
  | { readonly kind: 'not-connected' }
  /** The endpoint itself says that it ran nothing. */
  | { readonly kind: 'declined'; readonly decline: AttemptRejection }
  /** A whole answer of the endpoint is at hand and nothing of it was passed on. */
  | { readonly kind: 'answered'; readonly status: number }
  /** The whole answer was passed on to the caller. */
  | { readonly kind: 'delivered'; readonly status: number }
  /** The connection broke, or what came was no answer to this request. */
  | { readonly kind: 'broken'; readonly breakage: AttemptFailure }
  /** The router ended the attempt because the endpoint said nothing for too long. */
  | { readonly kind: 'silent' }
  /** The time of the request ran out. */
  | { readonly kind: 'expired' }
  | { readonly kind: 'caller-left' };

export type AttemptRejection =
  /** No free slot or queue place. */
  | 'full'
  /** Another instance has the address, or holds another version. */
  | 'other-instance'
  /** The request's time had run out in the endpoint's queue. */
  | 'late'
  | 'invalid';

export type AttemptFailure =
  | 'reset'
  /** The answer belongs to another request. */
  | 'foreign-answer'
  /** A success without the endpoint's receipt, or with an encoding nobody asked for. */
  | 'unproven-answer'
  /** The bytes are no HTTP answer, or the body is shorter than announced. */
  | 'malformed'
  /** A stream's events are out of order. */
  | 'event-order';

/** Whether the request may have run in this attempt. */
export function mayHaveRun(end: AttemptResult): boolean {
  return end.kind !== 'not-connected' && end.kind !== 'declined';
}
