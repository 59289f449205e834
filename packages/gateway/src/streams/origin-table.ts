/**
 * This router's copy of the store's table of streams. A read that begins after a request
 * shows every stream that had sent an event before and is not of its default version.
 */
import type {
  DefaultVersionList,
  DefaultVersions,
} from '@sesamegrade/core/software-versions/default-versions';
import type { StreamOrigins } from '@sesamegrade/core/software-versions/stream-origins';
import type { FeedTable } from '@sesamegrade/core/peers/feed-updates';
import type { FeedCoverage } from '@sesamegrade/core/store/feed-coverage';
import {
  comparePositions,
  revision,
} from '@sesamegrade/core/store/feed-position';
import type {
  FeedPosition,
  Revision,
} from '@sesamegrade/core/store/feed-position';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import {
  addTime,
  elapsed,
  milliseconds,
  seconds,
} from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { DecisionLog } from '../logs/decision-log';
import type {
  FeedPage,
  FeedResult,
  FeedRow,
  FeedSource,
  StoreFailure,
} from '../store/feed-source';
import { SharedCall } from '../store/shared-call';
import {
  decodeDefaults,
  decodeOrigins,
  DEFAULTS_KEY,
  NO_LIST,
  UNREADABLE_ROW,
} from './origin-row';

/** Time in which further requests share the read of the first one. */
const BATCH_DELAY: Milliseconds = milliseconds(5);
const NO_WAIT: Milliseconds = milliseconds(0);

/** Time after its begin in which a row may have been written, with a margin for a slow write. */
const MAX_ROW_SPAN: Milliseconds = seconds(11);

/** Failures after which the changes would fail again, so that the whole table is read. */
const RESTART_KINDS: ReadonlySet<StoreFailure['kind']> = new Set([
  'history-lost',
  'malformed',
  'too-large',
]);

/** What is known of a row with origins. */
export interface KnownRow {
  readonly revision: Revision;
  readonly number: number;
  /** Time in ms on the store's clock at which it was begun; undefined if it does not say. */
  readonly at: number | undefined;
  /** Longest life of streams when it was written; 0 if it does not say. */
  readonly lifetime: Milliseconds;
}

interface Sighting {
  readonly revision: Revision;
  readonly at: Instant;
}

export interface OriginTableOptions {
  readonly streamFeed: Pick<FeedSource, 'readAll' | 'readChanges'>;
  readonly streamOrigins: StreamOrigins;
  readonly defaultVersions: DefaultVersions;
  readonly coverage: Readonly<
    Record<FeedTable, Pick<FeedCoverage, 'position'>>
  >;
  /** Longest time from the begin of a stream to its last resumption. */
  readonly streamLifetime: () => Milliseconds;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
  readonly log: DecisionLog;
}

export class OriginTable {
  readonly #options: OriginTableOptions;
  readonly #read: SharedCall<boolean>;
  readonly #rows = new Map<string, KnownRow>();
  /** Since when this router has known the present revisions of the rows. */
  readonly #sightings = new Map<string, Sighting>();
  #list: DefaultVersionList = NO_LIST;
  #listRevision: Revision = revision(0);
  #position: FeedPosition | undefined;
  #clockOffset = 0;

  constructor(options: OriginTableOptions) {
    this.#options = options;
    const { timers, backgroundTasks } = options;
    this.#read = new SharedCall({
      name: 'stream-table-read',
      delay: BATCH_DELAY,
      timers,
      backgroundTasks,
      call: () => this.#readTable(),
    });
  }

  /** Position that the last read reached; undefined before the first one. */
  get position(): FeedPosition | undefined {
    return this.#position;
  }

  /** The list of default versions that was read last. */
  get list(): DefaultVersionList {
    return this.#list;
  }

  get listRevision(): Revision {
    return this.#listRevision;
  }

  /** The rows with origins by their keys. */
  get rows(): ReadonlyMap<string, KnownRow> {
    return this.#rows;
  }

  /** Time in ms on the store's clock. */
  storeTime(now: Instant): number {
    return now + this.#clockOffset;
  }

  /** Records the revision of a row that this router has just written. */
  onWritten(key: string, row: KnownRow): void {
    this.#setRow(key, row);
  }

  /** For how long this router has known that a row is as it is now. */
  timeUnchanged(key: string, now: Instant): Milliseconds {
    return elapsed(this.#sightings.get(key)?.at ?? now, now);
  }

  /** Reads the table by a call that begins after this one; false if the store does not show its present state. */
  async read(): Promise<boolean> {
    return (await this.#read.run()) ?? false;
  }

  async #readTable(): Promise<boolean> {
    const { timers, log } = this.#options;
    const known = this.#knownUpTo();
    const after = this.#position;
    const sentAt = timers.now();
    const { page, isWhole } = await this.#page(after);
    if (!page.ok) {
      log.write('streams-not-read', { failure: page.failure });
      return false;
    }
    const { position } = page.value;
    if (known && comparePositions(position, known) < 0) {
      // A copy of the store that is behind lacks records of streams that have begun since.
      return false;
    }
    const reached = this.#position;
    const isOvertaken =
      reached !== after && reached && comparePositions(reached, position) >= 0;
    if (!isOvertaken) {
      this.#apply(page.value, isWhole, sentAt);
    }
    return true;
  }

  /** Forgets the table, as the store was restored from an older copy. */
  reset(): void {
    this.#position = undefined;
    this.#rows.clear();
    this.#list = NO_LIST;
    this.#options.defaultVersions.invalidate();
  }

  #setRow(key: string, row: KnownRow): void {
    this.#rows.set(key, row);
    if (this.#sightings.get(key)?.revision !== row.revision) {
      const at = this.#options.timers.now();
      this.#sightings.set(key, { revision: row.revision, at });
    }
  }

  async #page(
    after: FeedPosition | undefined,
  ): Promise<{ readonly page: FeedResult; readonly isWhole: boolean }> {
    const { streamFeed } = this.#options;
    if (after) {
      const page = await streamFeed.readChanges(after.revision, NO_WAIT);
      const isRestored = page.ok && page.value.position.era !== after.era;
      const isLost = !page.ok && RESTART_KINDS.has(page.failure.kind);
      if (!isRestored && !isLost) {
        return { page, isWhole: false };
      }
    }
    return { page: await streamFeed.readAll(), isWhole: true };
  }

  /** The latest position of the store that this router knows of. */
  #knownUpTo(): FeedPosition | undefined {
    const { endpoints, configuration } = this.#options.coverage;
    return [this.#position, endpoints.position, configuration.position].reduce(
      (latest, position) =>
        position && (!latest || comparePositions(position, latest) > 0)
          ? position
          : latest,
      undefined,
    );
  }

  #apply(
    { rows, position, storeTime }: FeedPage,
    isWhole: boolean,
    sentAt: Instant,
  ): void {
    const { defaultVersions, timers } = this.#options;
    const receivedAt = timers.now();
    if (isWhole) {
      this.#rows.clear();
      this.#list = NO_LIST;
      this.#listRevision = revision(0);
    }
    if (position.era !== this.#position?.era) {
      this.#sightings.clear();
    }
    this.#position = position;
    this.#clockOffset = (storeTime ?? receivedAt) - receivedAt;
    for (const row of rows) {
      this.#applyRow(row, storeTime ?? receivedAt);
    }
    const { era } = position;
    const read = { era, storeTime, sentAt, receivedAt };
    defaultVersions.apply(this.#list, read);
  }

  #applyRow(
    { key, value, revision: rowRevision }: FeedRow,
    storeTime: number,
  ): void {
    const { streamOrigins, streamLifetime, timers, log } = this.#options;
    if (key === DEFAULTS_KEY) {
      const list = value && decodeDefaults(value);
      if (value && !list) {
        log.write('stored-streams-malformed', { key });
      }
      this.#list = list ?? NO_LIST;
      this.#listRevision = value ? rowRevision : revision(0);
      return;
    }
    if (!value) {
      this.#rows.delete(key);
      return;
    }
    const row = decodeOrigins(value);
    if (!row) {
      log.write('stored-streams-malformed', { key });
    }
    const { number, at, lifetime, groups } = row ?? UNREADABLE_ROW;
    this.#setRow(key, { revision: rowRevision, number, at, lifetime });
    // By a step of the store's clock a row may seem old that names running streams.
    const age = at === undefined ? 0 : storeTime - at - MAX_ROW_SPAN;
    const expired = Math.max(streamLifetime(), lifetime) + 1;
    const writtenAt = addTime(
      timers.now(),
      milliseconds(-Math.min(expired, Math.max(0, age))),
    );
    for (const { source, attempt, keys } of groups) {
      streamOrigins.add(keys, source, writtenAt, attempt, lifetime);
    }
  }
}
