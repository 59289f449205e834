/** Input and result of a placement decision. */
import type { ChatId, EndpointId, ZoneId } from '../types/ids';
import type { Milliseconds } from '../types/units';

/** An endpoint that is eligible for the request, as this router currently sees it. */
export interface Candidate {
  readonly id: EndpointId;
  readonly zone: ZoneId;
  /** Estimated requests in flight from all routers; may be fractional. */
  readonly load: number;
  /** Requests that the endpoint runs concurrently before it refuses more. */
  readonly capacity: number;
  /** Share of its full load, in 0..1, that the endpoint may take; below 1 during its join ramp. */
  readonly weight: number;
}

export interface PlacementRequest {
  readonly chat: ChatId;
  /** Endpoint that last ran the chat, if known; a preference, not a requirement. */
  readonly affinityEndpoint?: EndpointId | undefined;
}

/** Why the endpoint was chosen. */
export type PlacementReason =
  /** The chat's affinity endpoint. */
  | 'returned'
  /** The chat's highest-ranked endpoint. */
  | 'first-choice'
  /** A lower-ranked endpoint, as those ranked above it are at their bounds or more utilized. */
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
