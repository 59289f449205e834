/** Rows of the store's table of streams: the origins of streams, and the default versions. */
import { z } from 'zod';

import { nameSchema } from '@sesamegrade/core/membership/vm-entry';
import type { DefaultVersionList } from '@sesamegrade/core/software-versions/default-versions';
import { groupBySource } from '@sesamegrade/core/software-versions/stream-origins';
import type {
  OriginGroup,
  StreamOrigin,
} from '@sesamegrade/core/software-versions/stream-origins';
import { storeEra } from '@sesamegrade/core/store/feed-position';
import {
  serviceId,
  softwareVersion,
  streamKey,
} from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import { parseJsonRow } from '../store/json-row';

export const DEFAULTS_KEY = 'default-versions';
/** Older builds write rows of other keys, without regard to what these hold. */
const ORIGINS_KEY_PREFIX = 'origins-';
const FIRST_ATTEMPT = 1;
const NO_LIFETIME: Milliseconds = milliseconds(0);

const originsSchema = z.object({
  /** Rises with each row; routers of older builds number their rows by it. */
  number: z.int().min(0),
  /** Time in ms on the store's clock at which the row was begun; older builds write none. */
  at: z.number().optional(),
  /** Longest life in ms of streams at the time of the last write; older builds write none. */
  lifetime: z.number().min(0).optional(),
  /** Keys of streams by version, as older builds wrote them. */
  streams: z.record(nameSchema, z.array(nameSchema)),
  /** Keys of streams by the service and version at which they began. */
  origins: z
    .array(
      z.object({
        service: nameSchema,
        version: nameSchema,
        /** Number of the attempt that began the streams, if it was not the first one. */
        attempt: z.int().min(1).optional(),
        keys: z.array(nameSchema),
      }),
    )
    .optional(),
  /** Keys of streams whose version is not certain. */
  revoked: z.array(nameSchema).optional(),
});

type OriginsDocument = z.output<typeof originsSchema>;

export const NO_LIST: DefaultVersionList = {
  defaults: [],
  writtenIn: undefined,
};

export const defaultsSchema = z.object({
  era: z.int().min(0),
  /** Name of the routing whose moves of routes the list covers; older builds write none. */
  routing: nameSchema.optional(),
  /** Longest life in ms of the streams that began before; older builds write none. */
  lifetime: z.number().min(0).optional(),
  defaults: z.array(
    z.object({
      service: nameSchema,
      version: nameSchema,
      since: z.number(),
      unusedSince: z.number().nullable(),
      /** The only version that begins streams without a record while the default one is unused. */
      successor: z
        .object({
          version: nameSchema,
          /** Since when all routers go by the entry: in ms on the store's clock, and of Unix time. */
          agreedAt: z
            .object({ storeTime: z.number(), wallTime: z.number() })
            .optional(),
        })
        .optional(),
    }),
  ),
});

/** A row with origins. */
export interface OriginsRow {
  readonly number: number;
  /** Time in ms on the store's clock; undefined in rows of older builds. */
  readonly at: number | undefined;
  /** Longest life of streams when it was written; 0 in rows of older builds. */
  readonly lifetime: Milliseconds;
  readonly groups: readonly OriginGroup[];
}

/** A row that cannot be read is never used again: it may name streams. */
export const UNREADABLE_ROW: OriginsRow = {
  number: 0,
  at: undefined,
  lifetime: NO_LIFETIME,
  groups: [],
};

export function originsKey(slot: number): string {
  return `${ORIGINS_KEY_PREFIX}${slot}`;
}

export function encodeOrigins(
  number: number,
  at: number,
  lifetime: Milliseconds,
  origins: readonly StreamOrigin[],
): Uint8Array {
  const revoked = origins.filter(({ version }) => version === undefined);
  const groups = groupBySource(origins).flatMap(({ source, attempt, keys }) => {
    const { service, version } = source;
    return service === undefined || version === undefined
      ? []
      : [
          {
            service,
            version,
            ...(attempt > FIRST_ATTEMPT ? { attempt } : {}),
            keys,
          },
        ];
  });
  const document: OriginsDocument = {
    number,
    at,
    lifetime,
    streams: {},
    origins: groups,
    ...(revoked.length > 0 ? { revoked: revoked.map(({ key }) => key) } : {}),
  };
  return new TextEncoder().encode(JSON.stringify(document));
}

/** Returns undefined for a malformed row. */
export function decodeOrigins(value: Uint8Array): OriginsRow | undefined {
  const document = parseJsonRow(originsSchema, value);
  if (!document) {
    return undefined;
  }
  const { number, at, streams, origins = [], revoked = [] } = document;
  const toKeys = (keys: readonly string[]) => keys.map(key => streamKey(key));
  return {
    number,
    at,
    lifetime: milliseconds(document.lifetime ?? NO_LIFETIME),
    groups: [
      ...Object.entries(streams).map(([version, keys]) => ({
        source: { service: undefined, version: softwareVersion(version) },
        attempt: FIRST_ATTEMPT,
        keys: toKeys(keys),
      })),
      ...origins.map(({ service, version, attempt, keys }) => ({
        source: {
          service: serviceId(service),
          version: softwareVersion(version),
        },
        attempt: attempt ?? FIRST_ATTEMPT,
        keys: toKeys(keys),
      })),
      {
        source: { service: undefined, version: undefined },
        attempt: FIRST_ATTEMPT,
        keys: toKeys(revoked),
      },
    ],
  };
}

export type DefaultsDocument = z.output<typeof defaultsSchema>;

/** Returns undefined if there is no list. */
export function defaultsDocument({
  defaults,
  writtenIn,
  routing,
  lifetime,
}: DefaultVersionList): DefaultsDocument | undefined {
  return writtenIn === undefined
    ? undefined
    : {
        era: writtenIn,
        ...(routing === undefined ? {} : { routing }),
        ...(lifetime === undefined ? {} : { lifetime }),
        defaults: defaults.map(({ unusedSince, successor, ...entry }) => ({
          ...entry,
          unusedSince: unusedSince ?? null,
          ...(successor && {
            successor: {
              version: successor.version,
              ...(successor.agreedAt && { agreedAt: successor.agreedAt }),
            },
          }),
        })),
      };
}

export function listOf({
  era,
  routing,
  lifetime,
  defaults,
}: DefaultsDocument): DefaultVersionList {
  return {
    writtenIn: storeEra(era),
    ...(routing === undefined ? {} : { routing }),
    ...(lifetime === undefined ? {} : { lifetime: milliseconds(lifetime) }),
    defaults: defaults.map(
      ({ service, version, since, unusedSince, successor }) => ({
        service: serviceId(service),
        version: softwareVersion(version),
        since,
        unusedSince: unusedSince ?? undefined,
        successor: successor && {
          version: softwareVersion(successor.version),
          agreedAt: successor.agreedAt,
        },
      }),
    ),
  };
}

export function encodeDefaults(list: DefaultVersionList): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(defaultsDocument(list)));
}

/** Returns undefined for a malformed row. */
export function decodeDefaults(
  value: Uint8Array,
): DefaultVersionList | undefined {
  const document = parseJsonRow(defaultsSchema, value);
  return document && listOf(document);
}
