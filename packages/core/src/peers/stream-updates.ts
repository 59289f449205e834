/**
 * Tells the router that stores them where streams began, and a new peer which software
 * versions were in use lately.
 */
import { z } from 'zod';

import type { TopicEntries } from '../gossip/gossip-scheduler';
import { nameSchema } from '../membership/vm-entry';
import type {
  StreamOrigin,
  StreamOrigins,
} from '../software-versions/stream-origins';
import type { VersionHistory } from '../software-versions/version-history';
import {
  recordUse,
  useSchema,
  usesOf,
} from '../software-versions/version-report';
import { softwareVersion, streamKey } from '../types/ids';
import type { Instant } from '../types/units';
import { forEachValidEntry } from './entry-lists';
import { listPosition } from './feed-updates';

/** Key of a stream and the version at which it began. */
const originSchema = z.tuple([nameSchema, nameSchema]);

export const StreamTopic = { origins: 'b', versionUses: 'h' } as const;

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
      [StreamTopic.origins]: origins.map(({ key, version }) => [key, version]),
    };
  }

  /** The versions that were in use lately, if all of them are known. */
  fullState(now: Instant): TopicEntries {
    const { versionHistory } = this.#options;
    if (!versionHistory.isComplete(now)) {
      return {};
    }
    return {
      [StreamTopic.versionUses]: usesOf(versionHistory, now),
    };
  }

  /** Applies a peer's updates; returns the number of malformed entries. */
  receive(topics: TopicEntries, now: Instant): number {
    const { streamOrigins, versionHistory } = this.#options;
    const origins: StreamOrigin[] = [];
    const malformedOrigins = forEachValidEntry(
      topics[StreamTopic.origins],
      originSchema,
      ([key, version]) => {
        const origin = {
          key: streamKey(key),
          version: softwareVersion(version),
        };
        streamOrigins.add(origin, now);
        origins.push(origin);
      },
    );
    if (origins.length > 0) {
      this.#originListener(origins);
    }
    const uses = topics[StreamTopic.versionUses];
    const malformedUses = forEachValidEntry(uses, useSchema, use => {
      recordUse(versionHistory, use, now);
    });
    if (uses && malformedUses === 0) {
      versionHistory.markComplete(listPosition(topics));
    }
    return malformedOrigins + malformedUses;
  }
}
