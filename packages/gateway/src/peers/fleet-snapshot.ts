/** What a router hands to one that cannot reach the store: the configuration and the endpoints. */
import { z } from 'zod';

import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { EndpointEntry } from '@sesamegrade/core/endpoints/serving-endpoint';
import { endpointId, serviceId, zoneId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';

const MAX_PORT = 65_535;
/** Above the 140 engines of the largest deployment. */
const MAX_ENDPOINTS = 10_000;
const name = z.string().min(1).max(200);

const entrySchema = z
  .object({
    id: name,
    service: name,
    host: name,
    port: z.int().min(1).max(MAX_PORT),
    zone: name,
    slots: z.number().min(0),
    leaving: z.boolean(),
    warmUp: z.number().min(0),
    startedAt: z.number().optional(),
  })
  .transform((told): EndpointEntry => ({
    id: endpointId(told.id),
    service: serviceId(told.service),
    address: { host: told.host, port: told.port },
    zone: zoneId(told.zone),
    slots: told.slots,
    leaving: told.leaving,
    warmUp: milliseconds(told.warmUp),
    startedAt: told.startedAt,
  }));

export const fleetSnapshotSchema = z.object({
  version: z.number(),
  /** The configuration as the operator wrote it; empty when there is none. */
  raw: z.instanceof(Uint8Array),
  /** Absent when the sender has not read them itself. */
  endpoints: z.array(entrySchema).max(MAX_ENDPOINTS).optional(),
});

/** The endpoints as they travel; those that take nothing more are marked as leaving. */
export function snapshotEndpoints(
  directory: EndpointDirectory,
): z.input<typeof entrySchema>[] | undefined {
  if (!directory.loaded) {
    return undefined;
  }
  return directory.all().map(entry => ({
    id: entry.id,
    service: entry.service,
    host: entry.address.host,
    port: entry.address.port,
    zone: entry.zone,
    slots: entry.slots,
    leaving: !directory.isUsable(entry.id),
    warmUp: entry.warmUp,
    startedAt: entry.startedAt,
  }));
}
