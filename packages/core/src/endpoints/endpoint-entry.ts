/** What the store says of an endpoint. */
import type { Address } from '../types/endpoint';
import type { EndpointId, ServiceId, ZoneId } from '../types/ids';
import type { Milliseconds } from '../types/units';

/** One entry of the store's list of endpoints. */
export interface EndpointEntry {
  readonly id: EndpointId;
  readonly service: ServiceId;
  readonly address: Address;
  readonly zone: ZoneId;
  readonly slots: number;
  readonly leaving: boolean;
  /** How much longer the endpoint is slow after its start. */
  readonly warmUp: Milliseconds;
  /** Unix milliseconds of the endpoint's start; undefined when it does not say. */
  readonly startedAt: number | undefined;
}

/** A change of the list; an entry that is removed or cannot be read names no endpoint. */
export interface EndpointChange {
  readonly id: EndpointId;
  readonly entry: EndpointEntry | undefined;
}
