/** What travels between routers, and its validation. */
import { decode, encode } from '@msgpack/msgpack';
import { z } from 'zod';

import type { TopicEntries } from '@sesamegrade/core/gossip/gossip-scheduler';
import type { RouterIdentity } from '@sesamegrade/core/membership/router-table';
import {
  incarnationSchema,
  nameSchema,
} from '@sesamegrade/core/membership/vm-entry';
import { timestampSchema } from '@sesamegrade/core/timeline/hybrid-clock';
import type { HybridTimestamp } from '@sesamegrade/core/timeline/hybrid-clock';
import { incarnation, routerId, zoneId } from '@sesamegrade/core/types/ids';

const MAX_TOPICS = 32;
const MAX_ENTRIES = 2000;
/** More cores than any VM has. */
const MAX_POWER = 10_000;

/** Who a router says it is. */
export const identitySchema = z
  .object({
    id: nameSchema,
    incarnation: incarnationSchema,
    zone: nameSchema,
    host: nameSchema,
    port: z.int().min(1).max(65_535),
    power: z.number().min(0).max(MAX_POWER).optional(),
  })
  .transform((told): RouterIdentity => ({
    id: routerId(told.id),
    incarnation: incarnation(told.incarnation),
    zone: zoneId(told.zone),
    address: { host: told.host, port: told.port },
    power: told.power,
  }));

/** What a router says of itself, as it travels. */
export type IdentityMessage = z.input<typeof identitySchema>;

export function identityMessage(identity: RouterIdentity): IdentityMessage {
  const { id, incarnation: start, zone, address, power } = identity;
  const told = { id, incarnation: start, zone, ...address };
  return power === undefined ? told : { ...told, power };
}

/** First message of a feed: the server's proof that it knows the secret too. */
const helloSchema = z.object({
  identity: identitySchema,
  proof: z.string().max(100),
});

/** A message of gossip: the sender's stamp and entries by topic. */
const gossipSchema = z.object({
  h: timestampSchema,
  t: z
    .record(z.string().max(40), z.array(z.unknown()).max(MAX_ENTRIES))
    .refine(topics => Object.keys(topics).length <= MAX_TOPICS),
});

export const feedMessageSchema = z.union([gossipSchema, helloSchema]);

/** A message of gossip before and after its validation. */
export interface GossipFrame {
  readonly h: HybridTimestamp;
  readonly t: TopicEntries;
}

/** A message of a feed as it is sent. */
export type FeedMessage = GossipFrame | z.input<typeof helloSchema>;
/** A message of a feed that passed the schema. */
export type CheckedFeedMessage = z.output<typeof feedMessageSchema>;

/** Binary frames: a message of gossip is about a tenth smaller than as JSON. */
export const binaryEncoder = {
  encode: (data: unknown) => encode(data, { ignoreUndefined: true }),
  decode: (data: string | ArrayBuffer | Uint8Array): unknown => {
    if (typeof data === 'string') {
      throw new Error('a text frame came where a binary one was expected');
    }
    return decode(data);
  },
};
