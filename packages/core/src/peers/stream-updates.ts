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
import type {
  RecordedVersion,
  VersionHistory,
} from '../software-versions/version-history';
import {
  recordUse,
  useSchema,
  usesOf,
} from '../software-versions/version-report';
import { serviceId, softwareVersion, streamKey } from '../types/ids';
import type { Instant } from '../types/units';
import { forEachValidEntry } from './entry-lists';
import { listPosition } from './feed-updates';

/** Service, version, and the keys of the streams that began there. */
const originsSchema = z.tuple([nameSchema, nameSchema, z.array(nameSchema)]);
/** Key of a stream and the version at which it began, as older builds tell it. */
const versionSchema = z.tuple([nameSchema, nameSchema]);
/** Service and version (null if not named). */
const recordedSchema = z.tuple([nameSchema, nameSchema.nullable()]);

export const StreamTopic = {
  origins: 'q',
  /** Origins without their service, which older builds send; not sent any more. */
  versions: 'b',
  /** Keys of streams whose version is no longer certain. */
  revoked: 'j',
  versionUses: 'h',
  recorded: 'i',
} as const;

export interface StreamUpdatesOptions {
  readonly streamOrigins: StreamOrigins;
  readonly versionHistory: VersionHistory;
}

export class StreamUpdates {
  readonly #options: StreamUpdatesOptions;
  /** Versions that the store lists and that peers were not told of yet. */
  readonly #newRecorded: RecordedVersion[] = [];
  /** Whether this router passes on what it receives. */
  isRelay = false;
  #originListener: (origins: readonly StreamOrigin[]) => void = () => undefined;

  constructor(options: StreamUpdatesOptions) {
    this.#options = options;
  }

  /** Registers a listener for the origins that peers tell. */
  onOrigins(listener: (origins: readonly StreamOrigin[]) => void): void {
    this.#originListener = listener;
  }

  /** Records that the store lists a version as in use. */
  onRecorded(recorded: RecordedVersion): void {
    this.#newRecorded.push(recorded);
  }

  /** Whether there are updates to send. */
  get hasChanges(): boolean {
    return this.#newRecorded.length > 0;
  }

  /** Returns and clears the updates for all peers since the last call. */
  takeChanges(): TopicEntries {
    return this.hasChanges
      ? {
          [StreamTopic.recorded]: this.#newRecorded
            .splice(0)
            .map(recordedEntry),
        }
      : {};
  }

  originsMessage(origins: readonly StreamOrigin[]): TopicEntries {
    const isRevoked = ({ version }: StreamSource) => version === undefined;
    const revoked = origins.filter(isRevoked).map(({ key }) => key);
    const known = origins.filter(origin => !isRevoked(origin));
    return {
      [StreamTopic.origins]: groupBySource(known).map(({ source, keys }) => [
        source.service,
        source.version,
        keys,
      ]),
      ...(revoked.length > 0 ? { [StreamTopic.revoked]: revoked } : {}),
    };
  }

  /** The versions that the store lists, and those in use lately if all of them are known. */
  fullState(now: Instant): TopicEntries {
    const { versionHistory } = this.#options;
    const recorded = versionHistory.recorded(now).map(recordedEntry);
    return {
      ...(recorded.length > 0 ? { [StreamTopic.recorded]: recorded } : {}),
      ...(versionHistory.isComplete(now)
        ? { [StreamTopic.versionUses]: usesOf(versionHistory, now) }
        : {}),
    };
  }

  /** Applies a peer's updates; returns the number of malformed entries. */
  receive(topics: TopicEntries, now: Instant): number {
    const { versionHistory } = this.#options;
    const malformedOrigins = this.#receiveOrigins(topics, now);
    const uses = topics[StreamTopic.versionUses];
    const malformedUses = forEachValidEntry(uses, useSchema, use => {
      recordUse(versionHistory, use, now);
    });
    if (uses && malformedUses === 0) {
      versionHistory.markComplete(listPosition(topics));
    }
    const malformedRecorded = forEachValidEntry(
      topics[StreamTopic.recorded],
      recordedSchema,
      entry => {
        this.#applyRecorded(entry, now);
      },
    );
    return malformedOrigins + malformedUses + malformedRecorded;
  }

  #applyRecorded(
    [service, version]: z.output<typeof recordedSchema>,
    now: Instant,
  ): void {
    const { versionHistory } = this.#options;
    const recorded = {
      service: serviceId(service),
      version: version === null ? undefined : softwareVersion(version),
    };
    // It was in use when it was listed, also if its endpoints are not known here yet.
    versionHistory.record({ ...recorded, lastSeenAt: now });
    const isNew = versionHistory.markRecorded(
      recorded.service,
      recorded.version,
    );
    if (isNew && this.isRelay) {
      this.#newRecorded.push(recorded);
    }
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
      ) +
      forEachValidEntry(topics[StreamTopic.revoked], nameSchema, key => {
        add([key], { service: undefined, version: undefined });
      });
    if (origins.length > 0) {
      this.#originListener(origins);
    }
    return malformed;
  }
}

function recordedEntry({
  service,
  version,
}: RecordedVersion): z.output<typeof recordedSchema> {
  return [service, version ?? null];
}
