/** What a router that has just read the store tells a peer of the software versions in use. */
import { z } from 'zod';

import { nameSchema } from '../membership/vm-entry';
import { revision, storeEra } from '../store/feed-position';
import type { FeedPosition } from '../store/feed-position';
import { serviceId, softwareVersion } from '../types/ids';
import { addTime, elapsed, milliseconds } from '../types/units';
import type { Instant } from '../types/units';
import type { VersionHistory } from './version-history';

/** Largest number of uses in a report: several versions of each service of a fleet. */
const MAX_USES = 10_000;

/** Service, version (null if not named) and time since it was last in use. */
export const useSchema = z.tuple([
  nameSchema,
  nameSchema.nullable(),
  z.number().min(0),
]);

const reportSchema = z.object({
  uses: z.array(useSchema).max(MAX_USES),
  /** Whether every version within the lifetime of a stream is among them. */
  isComplete: z.boolean(),
  /** Position in the store up to which the sender has seen every change of the endpoints. */
  era: z.int().min(0),
  revision: z.int().min(0),
});

export type StoredUse = z.output<typeof useSchema>;
export type VersionReport = z.output<typeof reportSchema>;

/** The versions that were in use lately, with the time since then in milliseconds. */
export function usesOf(history: VersionHistory, now: Instant): StoredUse[] {
  return history
    .uses(now)
    .map(({ service, version, lastSeenAt }) => [
      service,
      version ?? null,
      Math.max(0, elapsed(lastSeenAt, now)),
    ]);
}

/** Records uses that a peer knows. */
export function recordUse(
  history: VersionHistory,
  [service, version, age]: StoredUse,
  now: Instant,
): void {
  history.record({
    service: serviceId(service),
    version: version === null ? undefined : softwareVersion(version),
    lastSeenAt: addTime(now, milliseconds(-age)),
  });
}

export function versionReport(
  history: VersionHistory,
  position: FeedPosition,
  now: Instant,
): VersionReport {
  return {
    uses: usesOf(history, now),
    isComplete: history.isComplete(now),
    ...position,
  };
}

/** How much a peer knows that reported its versions. */
export interface ReportedHistory {
  /** Whether it knows every version within the lifetime of a stream. */
  readonly isComplete: boolean;
  /** Position up to which it has seen every change of the endpoints. */
  readonly seenUpTo: FeedPosition;
}

/** Records what a peer reports; returns undefined if the message is no report. */
export function applyVersionReport(
  message: unknown,
  history: VersionHistory,
  now: Instant,
): ReportedHistory | undefined {
  const parsed = reportSchema.safeParse(message);
  if (!parsed.success) {
    return undefined;
  }
  const { uses, isComplete, era, revision: upTo } = parsed.data;
  for (const use of uses) {
    recordUse(history, use, now);
  }
  const seenUpTo = { era: storeEra(era), revision: revision(upTo) };
  if (isComplete) {
    history.markComplete(seenUpTo);
  }
  return { isComplete, seenUpTo };
}
