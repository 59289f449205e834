/**
 * The configuration, endpoints and evacuated zones that a router gives a peer which
 * cannot read them from the store.
 */
import { z } from 'zod';

import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import { endpointKeySchema } from '@sesamegrade/core/endpoints/endpoint-entry';
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import type {
  EvacuatedZoneList,
  EvacuatedZones,
} from '@sesamegrade/core/endpoints/evacuated-zones';
import { evacuatedZonesSchema } from '@sesamegrade/core/peers/feed-updates';
import { forEachValidEntry } from '@sesamegrade/core/peers/entry-lists';
import { revision, storeEra } from '@sesamegrade/core/store/feed-position';
import { hostSchema, portSchema } from '@sesamegrade/core/types/address';
import {
  endpointId,
  serviceId,
  softwareVersion,
  zoneId,
} from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';

/** Above the 140 engines of the largest deployment. */
const MAX_ENDPOINTS = 10_000;
const nameSchema = z.string().min(1).max(200);

const entrySchema = z
  .object({
    id: endpointKeySchema,
    service: nameSchema,
    host: hostSchema,
    port: portSchema,
    zone: nameSchema,
    slots: z.number().min(0),
    leaving: z.boolean(),
    warmUp: z.number().min(0),
    startedAt: z.number().optional(),
    softwareVersion: nameSchema.optional(),
  })
  .transform((entry): EndpointEntry => ({
    id: endpointId(entry.id),
    service: serviceId(entry.service),
    address: { host: entry.host, port: entry.port },
    zone: zoneId(entry.zone),
    slots: entry.slots,
    leaving: entry.leaving,
    warmUp: milliseconds(entry.warmUp),
    startedAt: entry.startedAt,
    softwareVersion:
      entry.softwareVersion === undefined
        ? undefined
        : softwareVersion(entry.softwareVersion),
  }));

export const fleetSnapshotSchema = z.object({
  version: z.number(),
  /** Era of the store that the configuration was read in. */
  era: z.int().min(0),
  /** The configuration as the operator wrote it; empty when the sender has none. */
  raw: z.instanceof(Uint8Array),
  /** Absent when the sender has not read the list of endpoints. */
  endpoints: z
    .array(z.unknown())
    .max(MAX_ENDPOINTS)
    .transform(entries => validEntries(entries))
    .optional(),
  /** Absent when the sender does not know the evacuated zones, or is of an older build. */
  zones: evacuatedZonesSchema
    .transform(([era, knownAsOf, names]): EvacuatedZoneList => ({
      zones: names.map(zoneId),
      position: { era: storeEra(era), revision: revision(knownAsOf) },
    }))
    .optional()
    .catch(undefined),
});

/** The valid entries of a list, and the number of the others. */
export interface SnapshotEndpoints {
  readonly entries: readonly EndpointEntry[];
  readonly malformed: number;
}

function validEntries(list: readonly unknown[]): SnapshotEndpoints {
  const entries: EndpointEntry[] = [];
  const malformed = forEachValidEntry(list, entrySchema, entry => {
    entries.push(entry);
  });
  return { entries, malformed };
}

/**
 * Returns the endpoints in the snapshot's format; those that accept no new
 * requests are marked as leaving.
 */
export function snapshotEndpoints(
  endpointDirectory: EndpointDirectory,
): z.input<typeof entrySchema>[] | undefined {
  if (!endpointDirectory.isLoaded) {
    return undefined;
  }
  return endpointDirectory.all().map(entry => ({
    id: entry.id,
    service: entry.service,
    host: entry.address.host,
    port: entry.address.port,
    zone: entry.zone,
    slots: entry.slots,
    leaving: !endpointDirectory.isUsable(entry.id),
    warmUp: entry.warmUp,
    startedAt: entry.startedAt,
    softwareVersion: entry.softwareVersion,
  }));
}

/** Returns the evacuated zones in the snapshot's format; undefined before they are known. */
export function snapshotZones({
  list,
}: EvacuatedZones): z.input<typeof evacuatedZonesSchema> | undefined {
  return list && [list.position.era, list.position.revision, [...list.zones]];
}
