/**
 * Tells the router that stores them where streams began, and a new peer which software
 * versions were in use lately.
 */
import { z } from 'zod';

import type { TopicEntries } from '../gossip/gossip-scheduler';
import { nameSchema } from '../membership/vm-entry';
import { groupBySource } from '../software-versions/stream-origins';
import type {
  StreamOrigin,
  StreamOrigins,
  StreamSource,
} from '../software-versions/stream-origins';
import type { VersionHistory } from '../software-versions/version-history';
import { serviceId, softwareVersion, streamKey } from '../types/ids';
import { addTime, elapsed, milliseconds } from '../types/units';
import type { Instant } from '../types/units';
import { forEachValidEntry } from './entry-lists';

/** Service, version, and the keys of the streams that began there. */
const originsSchema = z.tuple([nameSchema, nameSchema, z.array(nameSchema)]);
/** Key of a stream and the version at which it began, as older builds tell it. */
const versionSchema = z.tuple([nameSchema, nameSchema]);
/** Service, version (null if not named) and time since it was last in use. */
const useSchema = z.tuple([
  nameSchema,
  nameSchema.nullable(),
  z.number().min(0),
]);

export const StreamTopic = {
  origins: 'q',
  /** Origins without their service, which older builds send; not sent any more. */
  versions: 'b',
  versionUses: 'h',
} as const;

export interface StreamUpdatesOptions {
  readonly streamOrigins: StreamOrigins;
  readonly versionHistory: VersionHistory;
}

export class StreamUpdates {
  readonly #options: StreamUpdatesOptions;
  #originListener: (origins: readonly StreamOrigin[]) => void = () => undefined;

  constructor(options: StreamUpdatesOptions) {
    this.#options = options;
  }

  /** Registers a listener for the origins that peers tell. */
  onOrigins(listener: (origins: readonly StreamOrigin[]) => void): void {
    this.#originListener = listener;
  }

  originsMessage(origins: readonly StreamOrigin[]): TopicEntries {
    return {
      [StreamTopic.origins]: groupBySource(origins).map(({ source, keys }) => [
        source.service,
        source.version,
        keys,
      ]),
    };
  }

  /** The versions that were in use lately, if all of them are known. */
  fullState(now: Instant): TopicEntries {
    const { versionHistory } = this.#options;
    if (!versionHistory.isComplete(now)) {
      return {};
    }
    return {
      [StreamTopic.versionUses]: versionHistory
        .uses(now)
        .map(({ service, version, lastSeenAt }) => [
          service,
          version ?? null,
          Math.max(0, elapsed(lastSeenAt, now)),
        ]),
    };
  }

  /** Applies a peer's updates; returns the number of malformed entries. */
  receive(topics: TopicEntries, now: Instant): number {
    const { versionHistory } = this.#options;
    const malformedOrigins = this.#receiveOrigins(topics, now);
    const uses = topics[StreamTopic.versionUses];
    const malformedUses = forEachValidEntry(
      uses,
      useSchema,
      ([service, version, age]) => {
        versionHistory.record({
          service: serviceId(service),
          version: version === null ? undefined : softwareVersion(version),
          lastSeenAt: addTime(now, milliseconds(-age)),
        });
      },
    );
    if (uses && malformedUses === 0) {
      versionHistory.markComplete();
    }
    return malformedOrigins + malformedUses;
  }
  #receiveOrigins(topics: TopicEntries, now: Instant): number {
    const { streamOrigins } = this.#options;
    const origins: StreamOrigin[] = [];
    const add = (names: readonly string[], source: StreamSource) => {
      const keys = names.map(name => streamKey(name));
      streamOrigins.add(keys, source, now);
      origins.push(...keys.map(key => ({ key, ...source })));
    };
    const malformed =
      forEachValidEntry(
        topics[StreamTopic.origins],
        originsSchema,
        ([service, version, keys]) => {
          add(keys, {
            service: serviceId(service),
            version: softwareVersion(version),
          });
        },
      ) +
      forEachValidEntry(
        topics[StreamTopic.versions],
        versionSchema,
        ([key, version]) => {
          add([key], { service: undefined, version: softwareVersion(version) });
        },
      );
    if (origins.length > 0) {
      this.#originListener(origins);
    }
    return malformed;
  }
}
