/** What a response says about the rate of requests that its endpoint accepts from all routers together. */
export type RequestLimitStatement =
  /** The response names no limit. */
  | { readonly kind: 'none' }
  | { readonly kind: 'limit'; readonly perSecond: number }
  /** The response names a limit that is not a decimal number, which says nothing. */
  | { readonly kind: 'malformed' };
