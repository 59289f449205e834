/** What routers know about engines and plain services. */
import type {
  EndpointId,
  Incarnation,
  ModelId,
  ServiceId,
  VmId,
  ZoneId,
} from './ids';

/** Where an endpoint accepts connections. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** What an endpoint serves. */
export type Serving =
  | { readonly kind: 'engine'; readonly models: readonly ModelId[] }
  | { readonly kind: 'service'; readonly service: ServiceId };

/** An endpoint's life as the membership sees it; `leaving` never goes back. */
export type EndpointPhase = 'joining' | 'live' | 'leaving' | 'gone';

/** Row of the endpoint table. */
export interface Endpoint {
  readonly id: EndpointId;
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly zone: ZoneId;
  readonly address: Address;
  readonly serving: Serving;
  /** Requests the endpoint runs at once before it refuses. */
  readonly capacity: number;
  readonly phase: EndpointPhase;
}
