/**
 * Keeps the software versions that were in use lately in a row of the routers' own
 * table, so that they are known after all routers lost their memory at once. The list of
 * routers is read at each start in any case. The relay that reads the store for the fleet
 * writes the row when the set of versions changes.
 */
import { z } from 'zod';

import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import { nameSchema } from '@sesamegrade/core/membership/vm-entry';
import type {
  RecordedVersion,
  VersionHistory,
} from '@sesamegrade/core/software-versions/version-history';
import { revision } from '@sesamegrade/core/store/feed-position';
import type { Revision, StoreEra } from '@sesamegrade/core/store/feed-position';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { serviceId, softwareVersion } from '@sesamegrade/core/types/ids';
import type { ServiceId, SoftwareVersion } from '@sesamegrade/core/types/ids';
import {
  addTime,
  elapsed,
  milliseconds,
  seconds,
} from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import type { DecisionLog } from '../logs/decision-log';
import type { FleetReplica } from '../store/fleet-replica';
import type { FeedPage } from '../store/feed-source';
import { parseJsonRow } from '../store/json-row';
import type { RowTable } from '../store/row-table';

const ROW_KEY = 'software-versions';
/** Time after the start before a missing row is written: until then several routers may read for the fleet. */
const FIRST_WRITE_DELAY: Milliseconds = seconds(3);
/** Time between two attempts to write the row, or to read it. */
const RETRY_PERIOD: Milliseconds = seconds(1);
/** Clock value of a version that is still in use. */
const IN_USE = null;

/** Times are on the store's clock in milliseconds. */
const rowSchema = z.object({
  /** Since when all versions in use were recorded. */
  since: z.number(),
  uses: z.array(
    z.object({
      service: nameSchema,
      version: nameSchema.nullable(),
      until: z.number().nullable(),
    }),
  ),
  era: z.int().min(0),
});

type StoredUses = z.output<typeof rowSchema>;
type StoredUse = StoredUses['uses'][number];

interface StartSettings {
  readonly router: Pick<GatewaySettings['router'], 'first_start'>;
}

export interface StoredVersionsOptions {
  readonly settings: StartSettings;
  readonly routerRows: RowTable;
  readonly versionHistory: VersionHistory;
  readonly endpointDirectory: EndpointDirectory;
  readonly fleetReplica: Pick<FleetReplica, 'isReader'>;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
  readonly log: DecisionLog;
}

/** Called for each version of which the row was not known to list it. */
type RecordedListener = (recorded: RecordedVersion) => void;

/** The row as it was last read, and how this router's clock and the store's differ. */
interface ReadState {
  readonly revision: Revision;
  readonly stored: StoredUses | undefined;
  readonly era: StoreEra;
  readonly clockOffset: number;
}

export class StoredVersions {
  readonly #options: StoredVersionsOptions;
  #read: ReadState | undefined;
  readonly #startedAt: Instant;
  #writtenAt: Instant | undefined;
  #readAt: Instant | undefined;
  #isWriting = false;
  #recordedListener: RecordedListener = () => undefined;

  constructor(options: StoredVersionsOptions) {
    this.#options = options;
    this.#startedAt = options.timers.now();
    if (options.settings.router.first_start) {
      options.versionHistory.markComplete();
    }
  }

  onRecorded(listener: RecordedListener): void {
    this.#recordedListener = listener;
  }

  /** Takes the row among those of the table. */
  onRows({ rows, position, storeTime }: FeedPage): void {
    const { timers, versionHistory, log } = this.#options;
    const now = timers.now();
    const row = rows.find(({ key }) => key === ROW_KEY);
    const stored = row?.value && parseJsonRow(rowSchema, row.value);
    if (row?.value && !stored) {
      log.write('stored-versions-malformed');
    }
    const clockOffset = (storeTime ?? now) - now;
    this.#read = {
      revision: row?.revision ?? revision(0),
      stored,
      era: position.era,
      clockOffset,
    };
    if (!stored) {
      return;
    }
    for (const { service, version, until } of stored.uses) {
      versionHistory.record({
        service: serviceId(service),
        version: version === null ? undefined : softwareVersion(version),
        lastSeenAt:
          until === IN_USE
            ? now
            : addTime(now, milliseconds(until - clockOffset - now)),
      });
    }
    this.#markRecorded(stored);
    // A copy of the store that was restored lacks what was recorded since.
    const isCurrent = stored.era === position.era && storeTime !== undefined;
    const knownFor = (storeTime ?? 0) - stored.since;
    if (isCurrent && knownFor >= versionHistory.lifetime) {
      versionHistory.markComplete(position);
    }
  }

  #markRecorded({ uses }: StoredUses): void {
    const { versionHistory } = this.#options;
    for (const use of uses) {
      const service = serviceId(use.service);
      const version =
        use.version === null ? undefined : softwareVersion(use.version);
      if (
        use.until === IN_USE &&
        versionHistory.markRecorded(service, version)
      ) {
        this.#recordedListener({ service, version });
      }
    }
  }

  /**
   * Writes the row if the versions in use are not those that it lists, and reads it again
   * after changes of the endpoints were missed.
   */
  tick(now: Instant): void {
    const { endpointDirectory, versionHistory, backgroundTasks } =
      this.#options;
    if (!endpointDirectory.isLoaded) {
      return;
    }
    versionHistory.observe(endpointDirectory.all(), now);
    if (versionHistory.hasMissed && this.#isReadDue(now)) {
      this.#readAt = now;
      backgroundTasks.run('version-row-read', () => this.#readRow());
    }
    if (!this.#isDue(now)) {
      return;
    }
    const read = this.#read;
    const uses = read && this.#currentUses(read, now);
    if (read?.stored && uses && isSame(read, uses)) {
      return;
    }
    this.#writtenAt = now;
    this.#isWriting = true;
    backgroundTasks.run('version-row', async () => {
      try {
        await this.#write(read, uses);
      } finally {
        this.#isWriting = false;
      }
    });
  }

  #isReadDue(now: Instant): boolean {
    return (
      this.#readAt === undefined || elapsed(this.#readAt, now) >= RETRY_PERIOD
    );
  }

  #isDue(now: Instant): boolean {
    if (this.#isWriting || !this.#options.fleetReplica.isReader) {
      return false;
    }
    if (this.#writtenAt) {
      return elapsed(this.#writtenAt, now) >= RETRY_PERIOD;
    }
    return (
      this.#read !== undefined &&
      (this.#read.stored !== undefined ||
        elapsed(this.#startedAt, now) >= FIRST_WRITE_DELAY)
    );
  }

  async #write(
    read: ReadState | undefined,
    uses: StoredUses | undefined,
  ): Promise<void> {
    const { routerRows, log } = this.#options;
    if (read && uses) {
      const value = new TextEncoder().encode(JSON.stringify(uses));
      const written = await routerRows.replace(ROW_KEY, value, read.revision);
      log.write('versions-stored', { uses: uses.uses, ok: written.ok });
    }
    // Also after a conflict or a lost response, which may have changed the row.
    this.#read = undefined;
    await this.#readRow();
  }

  async #readRow(): Promise<void> {
    const { routerRows } = this.#options;
    const page = await routerRows.readAll();
    if (page.ok) {
      this.onRows(page.value);
    }
  }

  #currentUses(
    { stored, era, clockOffset }: ReadState,
    now: Instant,
  ): StoredUses {
    const { versionHistory, endpointDirectory } = this.#options;
    const present = new Set(
      endpointDirectory
        .all()
        .map(({ service, softwareVersion: version }) =>
          useName(service, version),
        ),
    );
    const uses = versionHistory
      .uses(now)
      .map(({ service, version, lastSeenAt }): StoredUse => ({
        service,
        version: version ?? null,
        until: present.has(useName(service, version))
          ? IN_USE
          : lastSeenAt + clockOffset,
      }));
    const isKnown = stored?.era === era;
    const since = (versionHistory.knownSince(now) ?? now) + clockOffset;
    return {
      since: isKnown ? Math.min(stored.since, since) : since,
      uses,
      era,
    };
  }
}

/** Whether the row lists the versions that are in use, apart from the times of others. */
function isSame({ stored, era }: ReadState, { uses }: StoredUses): boolean {
  const inUse = (list: readonly StoredUse[]) =>
    list
      .filter(({ until }) => until === IN_USE)
      .map(({ service, version }) => useName(service, version ?? undefined))
      .sort()
      .join(' ');
  return stored?.era === era && inUse(stored.uses) === inUse(uses);
}

function useName(
  service: ServiceId | string,
  version: SoftwareVersion | string | undefined,
): string {
  return JSON.stringify([service, version]);
}
