/** What a placement decision is asked and what it answers. */
import type { ChatId, EndpointId, ZoneId } from '../types/ids';
import type { Milliseconds } from '../types/units';

/** An endpoint that may take the request, as this router sees it now. */
export interface Candidate {
  readonly id: EndpointId;
  readonly zone: ZoneId;
  /** Estimated requests in flight from the whole fleet; may be fractional. */
  readonly load: number;
  /** Requests that the endpoint runs at once before it refuses. */
  readonly capacity: number;
  /** Share of its full load in 0..1 that the endpoint may take; below 1 while it joins. */
  readonly weight: number;
}

export interface PlacementRequest {
  readonly chat: ChatId;
  /** Endpoint that last ran the chat, if anyone remembers; only a preference. */
  readonly affinityEndpoint?: EndpointId | undefined;
}

/** Why the endpoint was chosen. */
export type PlacementReason =
  /** The chat goes back to its last place. */
  | 'returned'
  /** The chat's highest ranked endpoint. */
  | 'first-choice'
  /** A lower ranked endpoint, as those before it are at their bounds. */
  | 'spilled'
  | 'least-loaded'
  | 'random';

export type PlacementChoice =
  | {
      readonly kind: 'endpoint';
      readonly endpoint: EndpointId;
      readonly reason: PlacementReason;
    }
  /** Every candidate is at its bound. */
  | { readonly kind: 'saturated'; readonly retryAfter: Milliseconds }
  | { readonly kind: 'no-candidate' };
