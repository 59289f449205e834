/** Types of an endpoint: an engine, or one instance of a plain service. */
import type {
  EndpointId,
  Incarnation,
  ModelId,
  ServiceId,
  VmId,
  ZoneId,
} from './ids';

/** Host and port that accept connections. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/**
 * The models that an engine serves, or the service that the endpoint is an
 * instance of.
 */
export type Serving =
  | { readonly kind: 'engine'; readonly models: readonly ModelId[] }
  | { readonly kind: 'service'; readonly service: ServiceId };

/** Lifecycle phase of an endpoint in the membership; `leaving` is never reverted. */
export type EndpointPhase = 'joining' | 'live' | 'leaving' | 'gone';

/** Row of the endpoint table. */
export interface Endpoint {
  readonly id: EndpointId;
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly zone: ZoneId;
  readonly address: Address;
  readonly serving: Serving;
  /** Maximum concurrent requests; the endpoint refuses any above it. */
  readonly capacity: number;
  readonly phase: EndpointPhase;
}
