/** What a response says about one kind of rate that its endpoint accepts from all routers together. */
export type RateStatement =
  /** The response names no rate. */
  | { readonly kind: 'none' }
  | { readonly kind: 'limit'; readonly perSecond: number }
  /** The response names a rate that is not a decimal number, which says nothing. */
  | { readonly kind: 'malformed' };
