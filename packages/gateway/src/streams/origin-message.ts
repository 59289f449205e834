/** Origins of streams in messages between routers: those of one service, version and attempt together. */
import { z } from 'zod';

import { nameSchema } from '@sesamegrade/core/membership/vm-entry';
import { groupBySource } from '@sesamegrade/core/software-versions/stream-origins';
import type { StreamOrigin } from '@sesamegrade/core/software-versions/stream-origins';
import {
  serviceId,
  softwareVersion,
  streamKey,
} from '@sesamegrade/core/types/ids';

const groupSchema = z
  .tuple([
    nameSchema.nullable(),
    nameSchema.nullable(),
    z.int().min(1),
    z.array(nameSchema),
  ])
  // A row has no place for a version without its service.
  .refine(([service, version]) => service !== null || version === null);

export type OriginTuple = z.input<typeof groupSchema>;

/** Accepts up to a number of origins. */
export function originsSchema(max: number) {
  return z
    .array(groupSchema)
    .refine(
      groups =>
        groups.reduce((sum, [, , , keys]) => sum + keys.length, 0) <= max,
    );
}

export function encodeGroups(origins: readonly StreamOrigin[]): OriginTuple[] {
  return groupBySource(origins).map(({ source, attempt, keys }) => [
    source.service ?? null,
    source.version ?? null,
    attempt,
    keys,
  ]);
}

export function decodeGroups(groups: readonly OriginTuple[]): StreamOrigin[] {
  return groups.flatMap(([service, version, attempt, keys]) =>
    keys.map(key => ({
      key: streamKey(key),
      service: service === null ? undefined : serviceId(service),
      version: version === null ? undefined : softwareVersion(version),
      attempt,
    })),
  );
}
