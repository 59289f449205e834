/** An endpoint as the store lists it. */
import { z } from 'zod';

import type { Address } from '../types/endpoint';
import type {
  EndpointId,
  ServiceId,
  SoftwareVersion,
  ZoneId,
} from '../types/ids';
import type { Milliseconds } from '../types/units';

/** Id of an endpoint: the key of its row, which is also sent in headers. */
export const endpointKeySchema = z.string().regex(/^[!-~]{1,200}$/u);

/** One entry of the store's list of endpoints. */
export interface EndpointEntry {
  readonly id: EndpointId;
  readonly service: ServiceId;
  readonly address: Address;
  readonly zone: ZoneId;
  readonly slots: number;
  readonly leaving: boolean;
  /** Time after its start for which the endpoint is slow. */
  readonly warmUp: Milliseconds;
  /** Unix milliseconds of the endpoint's start; undefined if the entry does not contain it. */
  readonly startedAt: number | undefined;
  /** Undefined if the entry, or a peer of an older build that passed it on, does not name it. */
  readonly softwareVersion: SoftwareVersion | undefined;
}

/** A change of the list; `entry` is undefined if it was removed or cannot be read. */
export interface EndpointChange {
  readonly id: EndpointId;
  readonly entry: EndpointEntry | undefined;
}
