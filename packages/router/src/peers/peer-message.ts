/** Messages between routers: their schemas, types and encoding. */
import { encode } from '@msgpack/msgpack';
import { z } from 'zod';

import type { TopicEntries } from '@sesamegrade/core/gossip/gossip-scheduler';
import type { RouterIdentity } from '@sesamegrade/core/membership/router-table';
import {
  incarnationSchema,
  nameSchema,
} from '@sesamegrade/core/membership/vm-entry';
import { timestampSchema } from '@sesamegrade/core/timeline/hybrid-clock';
import type { HybridTimestamp } from '@sesamegrade/core/timeline/hybrid-clock';
import { hostSchema, portSchema } from '@sesamegrade/core/types/address';
import { incarnation, routerId, zoneId } from '@sesamegrade/core/types/ids';
import { decodeFrame, FrameError, isSoundAnswer } from './peer-frame';

const MAX_TOPICS = 32;
const MAX_ENTRIES = 2000;
const MAX_TOPIC_NAME_LENGTH = 40;
/** Upper limit of a plausible `power`: more cores than any VM has. */
const MAX_POWER = 10_000;

/** Schema of the identity that a router sends. */
export const identitySchema = z
  .object({
    id: nameSchema,
    incarnation: incarnationSchema,
    zone: nameSchema,
    host: hostSchema,
    port: portSchema,
    power: z.number().min(0).max(MAX_POWER).optional(),
  })
  .transform((message): RouterIdentity => ({
    id: routerId(message.id),
    incarnation: incarnation(message.incarnation),
    zone: zoneId(message.zone),
    address: { host: message.host, port: message.port },
    power: message.power,
  }));

/** A router's identity in the form in which it is sent. */
export type IdentityMessage = z.input<typeof identitySchema>;

export function identityMessage(identity: RouterIdentity): IdentityMessage {
  const { id, incarnation: ownIncarnation, zone, address, power } = identity;
  const message = { id, incarnation: ownIncarnation, zone, ...address };
  return power === undefined ? message : { ...message, power };
}

/** First message of a feed: the server's identity and its proof that it knows the fleet's secret. */
const helloSchema = z.object({
  identity: identitySchema,
  proof: z.string().max(100),
});

/** A gossip message: `h` is the sender's timestamp, `t` holds the entries by topic. */
const gossipSchema = z.object({
  h: timestampSchema,
  t: z.custom<TopicEntries>(isTopics),
});

/** The entries are checked by their topics: a schema here would copy each list. */
function isTopics(value: unknown): boolean {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return false;
  }
  const topics = Object.entries(value);
  return (
    topics.length <= MAX_TOPICS &&
    topics.every(
      ([name, entries]) =>
        name.length <= MAX_TOPIC_NAME_LENGTH &&
        Array.isArray(entries) &&
        entries.length <= MAX_ENTRIES,
    )
  );
}

export const feedMessageSchema = z.union([gossipSchema, helloSchema]);

/** A gossip message; validation leaves its type unchanged. */
export interface GossipFrame {
  readonly h: HybridTimestamp;
  readonly t: TopicEntries;
}

/** A feed message as it is sent. */
export type FeedMessage = GossipFrame | z.input<typeof helloSchema>;
/** A feed message that matched the schema. */
export type CheckedFeedMessage = z.output<typeof feedMessageSchema>;

type Frame = string | ArrayBuffer | Uint8Array;

/** MessagePack encoding in binary frames; a gossip message is about a tenth smaller than as JSON. */
export const binaryEncoder = {
  encode: (data: unknown) => encode(data, { ignoreUndefined: true }),
  decode: (data: Frame): unknown => {
    if (typeof data === 'string') {
      throw new FrameError(
        'received a text frame from a peer; only binary frames are expected',
      );
    }
    return decodeFrame(
      data instanceof ArrayBuffer ? new Uint8Array(data) : data,
    );
  },
};

/** An answer to no request, which tRPC's client ignores. */
const NO_ANSWER = { id: '' };

/**
 * Returns the encoder of a client. tRPC throws what the decoder of a client throws, and
 * its own errors about the answer, where nothing catches them.
 */
export function clientEncoder(onMalformed: () => void): typeof binaryEncoder {
  return {
    encode: binaryEncoder.encode,
    decode: data => {
      const message = tryDecode(data);
      if (isSoundAnswer(message)) {
        return message;
      }
      onMalformed();
      return NO_ANSWER;
    },
  };
}

function tryDecode(data: Frame): unknown {
  try {
    return binaryEncoder.decode(data);
  } catch {
    return undefined;
  }
}
