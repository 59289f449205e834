/**
 * Passes on what this router reads from the platform's store, so that few routers
 * have to read it: changed endpoint rows, and confirmations of how recently a
 * table was read. A confirmation counts only for a router that has every change
 * before it.
 */
import { z } from 'zod';

import type {
  EndpointReplica,
  EndpointRow,
} from '../endpoints/endpoint-replica';
import { endpointKeySchema } from '../endpoints/endpoint-entry';
import type { EndpointEntry } from '../endpoints/endpoint-entry';
import type { EvacuatedZones } from '../endpoints/evacuated-zones';
import type { TopicEntries } from '../gossip/gossip-scheduler';
import type { RouteTable } from '../routes/route-table';
import type { FeedCoverage } from '../store/feed-coverage';
import type { StoreClock } from '../store/store-clock';
import { FIRST_ERA, revision, storeEra } from '../store/feed-position';
import type { FeedPosition, Revision, StoreEra } from '../store/feed-position';
import { hostSchema, portSchema } from '../types/address';
import {
  endpointId,
  routerId,
  serviceId,
  softwareVersion,
  zoneId,
} from '../types/ids';
import type { RouterId, SoftwareVersion } from '../types/ids';
import { addTime, elapsed, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { forEachValidEntry } from './entry-lists';

const nameSchema = z.string().min(1).max(200);
const countSchema = z.int().min(0);

/** Service, host, port, zone, slots, whether it leaves, warm-up time and start time. */
const entrySchema = z.tuple([
  nameSchema,
  hostSchema,
  portSchema,
  nameSchema,
  z.number().min(0),
  z.boolean(),
  z.number().min(0),
  z.number().nullable(),
]);
/** Era, key and revision of a row, and the entry; null if it was removed. */
const rowSchema = z.tuple([
  countSchema,
  endpointKeySchema,
  countSchema,
  entrySchema.nullable(),
]);
/**
 * Table, the router that read it, era, revision after which all changes were
 * passed on, revision up to which all are known, age in milliseconds, and the
 * version of the configuration that results (-1 if there is none).
 */
const confirmationSchema = z.tuple([
  z.enum(['endpoints', 'configuration']),
  nameSchema,
  countSchema,
  countSchema,
  countSchema,
  z.number().min(0),
  z.int().min(-1),
]);

/**
 * Era, key and revision of a row, and the version of the endpoint's software. Older
 * builds reject a row with more fields, and pass over a topic that they do not know.
 */
const versionSchema = z.tuple([
  countSchema,
  endpointKeySchema,
  countSchema,
  nameSchema,
]);

/** Era and revision as of which the rows of the message are the complete table. */
const listSchema = z.tuple([countSchema, countSchema]);

/**
 * Table, the router that read it, and when on the store's clock. The age in a confirmation
 * counts from the arrival of the message, which may have waited while a connection was cut.
 */
const storeTimeSchema = z.tuple([
  z.enum(['endpoints', 'configuration']),
  nameSchema,
  z.number(),
]);

/** Most evacuated zones in a message. */
const MAX_EVACUATED_ZONES = 1000;

/** Era and revision as of which the evacuated zones are known, and all of them. */
export const evacuatedZonesSchema = z.tuple([
  countSchema,
  countSchema,
  z.array(nameSchema).max(MAX_EVACUATED_ZONES),
]);

export const FeedTopic = {
  rows: 'e',
  list: 'w',
  versions: 'v',
  confirmations: 'f',
  storeTimes: 'm',
  zones: 'q',
} as const;

/** The tables that routers read from the store. */
export type FeedTable = z.output<typeof confirmationSchema>[0];

type Confirmation = z.output<typeof confirmationSchema>;

const FEED_TABLES: readonly FeedTable[] = ['endpoints', 'configuration'];
/** Largest number of rows in a message; receivers reject more than 2,000 entries of a kind. */
const MAX_SENT_ROWS = 1000;
const NO_VERSION = -1;
const FIRST_REVISION = revision(0);
/** Age of the last confirmation that was sent above which a new one is sent without delay. */
const STALE_AFTER: Milliseconds = milliseconds(700);

export interface FeedUpdatesOptions {
  readonly self: RouterId;
  readonly endpointReplica: EndpointReplica;
  readonly evacuatedZones: EvacuatedZones;
  readonly routes: RouteTable;
  readonly coverage: Readonly<Record<FeedTable, FeedCoverage>>;
  readonly storeClock: StoreClock;
}

export class FeedUpdates {
  readonly #options: FeedUpdatesOptions;
  readonly #changedRows = new Map<string, EndpointRow>();
  /** Time up to which the confirmations of each table that were sent reach. */
  readonly #sentUpTo = new Map<FeedTable, Instant>();
  #isRelay = false;
  #isUrgent = false;
  /** Whether the evacuated zones changed since they were last sent. */
  #hasNewZones = false;
  #newestEra: StoreEra = FIRST_ERA;

  constructor(options: FeedUpdatesOptions) {
    this.#options = options;
  }

  set isRelay(isRelay: boolean) {
    this.#isRelay = isRelay;
  }

  /** Whether there are updates that should be sent without a batching delay. */
  get isUrgent(): boolean {
    return this.#isUrgent || this.#hasNewZones || this.#changedRows.size > 0;
  }

  /** The newest era of the store that a peer has named. */
  get newestEra(): StoreEra {
    return this.#newestEra;
  }

  /** Records a changed row that this router has read from the store. */
  onRowRead(row: EndpointRow): void {
    this.#changedRows.set(row.id, row);
  }

  /** Records that this router has learned of the evacuated zones from the store or a snapshot. */
  onZonesLearned(): void {
    this.#hasNewZones = true;
  }

  /** Records that this router has read a table of the store. */
  onTableRead(table: FeedTable, position: FeedPosition, now: Instant): void {
    this.#recordConfirmation(table, this.#options.self, position, now);
  }

  /** Adds the pending updates to a message and clears them. */
  takeChanges(now: Instant): TopicEntries {
    const topics: Record<string, readonly unknown[]> = {};
    if (this.#changedRows.size > 0) {
      Object.assign(topics, this.#rowTopics(this.#takeRows()));
    }
    // A confirmation claims that every row before it was passed on.
    if (this.#changedRows.size === 0 && this.#hasNewConfirmation()) {
      const confirmations = this.#confirmations(
        this.#options.endpointReplica.baseRevision,
        now,
      );
      if (confirmations.length > 0) {
        topics[FeedTopic.confirmations] = confirmations;
        topics[FeedTopic.storeTimes] = this.#storeTimes(confirmations);
        Object.assign(topics, this.#zoneTopic());
      }
      for (const table of FEED_TABLES) {
        const confirmedAt = this.#options.coverage[table].latest?.confirmedAt;
        if (confirmedAt !== undefined) {
          this.#sentUpTo.set(table, confirmedAt);
        }
      }
    }
    if (this.#hasNewZones) {
      Object.assign(topics, this.#zoneTopic());
    }
    this.#hasNewZones = false;
    this.#isUrgent = false;
    return topics;
  }

  #takeRows(): EndpointRow[] {
    const rows: EndpointRow[] = [];
    for (const [id, row] of this.#changedRows) {
      if (rows.length >= MAX_SENT_ROWS) {
        break;
      }
      rows.push(row);
      this.#changedRows.delete(id);
    }
    return rows;
  }

  /**
   * All rows and confirmations, for a peer that has just subscribed to this relay. The
   * evacuated zones are sent by every router, as one that starts needs them to be ready.
   */
  fullState(now: Instant): TopicEntries {
    const { endpointReplica, coverage } = this.#options;
    if (!this.#isRelay || endpointReplica.baseRevision === undefined) {
      return this.#zoneTopic();
    }
    const { position } = coverage.endpoints;
    // With the complete table a peer has every change before.
    const confirmations = this.#confirmations(
      position ? FIRST_REVISION : endpointReplica.baseRevision,
      now,
    );
    return {
      ...this.#zoneTopic(),
      [FeedTopic.list]: position ? [[position.era, position.revision]] : [],
      ...this.#rowTopics(endpointReplica.rows()),
      [FeedTopic.confirmations]: confirmations,
      [FeedTopic.storeTimes]: this.#storeTimes(confirmations),
    };
  }

  /** Applies a peer's updates; returns the number of malformed entries. */
  receive(topics: TopicEntries, now: Instant): number {
    const versions = new Map<string, SoftwareVersion>();
    const malformedVersions = forEachValidEntry(
      topics[FeedTopic.versions],
      versionSchema,
      ([era, key, rowRevision, version]) => {
        versions.set(rowName(era, key, rowRevision), softwareVersion(version));
      },
    );
    const rows: { readonly era: StoreEra; readonly row: EndpointRow }[] = [];
    const malformedRows = forEachValidEntry(
      topics[FeedTopic.rows],
      rowSchema,
      ([era, key, rowRevision, entry]) => {
        const version = versions.get(rowName(era, key, rowRevision));
        rows.push({
          era: storeEra(era),
          row: {
            id: endpointId(key),
            revision: revision(rowRevision),
            entry: entry ? entryOf(key, entry, version) : undefined,
            isPartial: version === undefined,
          },
        });
      },
    );
    const malformedLists = forEachValidEntry(
      topics[FeedTopic.list],
      listSchema,
      ([era, listRevision]) => {
        const position = {
          era: storeEra(era),
          revision: revision(listRevision),
        };
        this.#applyList(rows.splice(0), position, now);
      },
    );
    for (const { era, row } of rows) {
      this.#applyRow(era, row, now);
    }
    // Before the confirmations, which are accepted only if the zones are known.
    const malformedZones = forEachValidEntry(
      topics[FeedTopic.zones],
      evacuatedZonesSchema,
      entry => {
        this.#applyZones(entry, now);
      },
    );
    const storeTimes = new Map<string, number>();
    const malformedTimes = forEachValidEntry(
      topics[FeedTopic.storeTimes],
      storeTimeSchema,
      ([table, origin, storeTime]) => {
        storeTimes.set(confirmationName(table, origin), storeTime);
      },
    );
    const malformedConfirmations = forEachValidEntry(
      topics[FeedTopic.confirmations],
      confirmationSchema,
      confirmation => {
        const [table, origin] = confirmation;
        const storeTime = storeTimes.get(confirmationName(table, origin));
        this.#applyConfirmation(confirmation, storeTime, now);
      },
    );
    return (
      malformedTimes +
      malformedZones +
      malformedVersions +
      malformedRows +
      malformedLists +
      malformedConfirmations
    );
  }

  #applyList(
    rows: readonly { readonly era: StoreEra; readonly row: EndpointRow }[],
    position: FeedPosition,
    now: Instant,
  ): void {
    this.#recordEra(position.era);
    const listed = rows
      .filter(({ era }) => era === position.era)
      .map(({ row }) => row);
    const changed = this.#options.endpointReplica.applyPeerList(
      listed,
      position,
      now,
    );
    if (this.#isRelay) {
      for (const row of changed) {
        this.#changedRows.set(row.id, row);
      }
    }
  }

  #applyRow(era: StoreEra, row: EndpointRow, now: Instant): void {
    const { endpointReplica } = this.#options;
    this.#recordEra(era);
    const isNew = endpointReplica.applyPeerRow(row, era, now);
    if (isNew && this.#isRelay) {
      this.#changedRows.set(row.id, row);
    }
  }

  #applyZones(
    [era, knownAsOf, names]: z.output<typeof evacuatedZonesSchema>,
    now: Instant,
  ): void {
    const position = { era: storeEra(era), revision: revision(knownAsOf) };
    this.#recordEra(position.era);
    const { evacuatedZones } = this.#options;
    const isFirst = !evacuatedZones.isKnown;
    const hasChanged = evacuatedZones.applyList(names.map(zoneId), position, {
      origin: 'peer',
      now,
    });
    // Routers that start wait for the set, also for an empty one.
    if ((hasChanged || isFirst) && this.#isRelay) {
      this.#hasNewZones = true;
    }
  }

  #applyConfirmation(
    [table, origin, era, base, known, age, version]: Confirmation,
    storeTime: number | undefined,
    now: Instant,
  ): void {
    const position = { era: storeEra(era), revision: revision(known) };
    this.#recordEra(position.era);
    if (
      routerId(origin) === this.#options.self ||
      !this.#hasChangesBefore(table, position, base, version)
    ) {
      return;
    }
    const { storeClock } = this.#options;
    if (storeTime !== undefined && storeClock.isAhead(storeTime, now)) {
      // The clock stood still while the machine was suspended; an own read sets it anew.
      return;
    }
    const arrival = addTime(now, milliseconds(-age));
    const made =
      storeTime === undefined ? undefined : storeClock.toLocal(storeTime);
    const confirmedAt = made !== undefined && made < arrival ? made : arrival;
    this.#recordConfirmation(table, routerId(origin), position, confirmedAt);
  }

  #storeTimes(
    confirmations: readonly Confirmation[],
  ): z.output<typeof storeTimeSchema>[] {
    const { coverage, storeClock } = this.#options;
    return confirmations.flatMap(([table, origin]) => {
      const { latest } = coverage[table];
      const storeTime = latest && storeClock.toStore(latest.confirmedAt);
      return storeTime === undefined ? [] : [[table, origin, storeTime]];
    });
  }

  /** Whether this router has every change up to the revision after which the sender passed all on. */
  #hasChangesBefore(
    table: FeedTable,
    position: FeedPosition,
    base: number,
    version: number,
  ): boolean {
    const { coverage, routes, evacuatedZones } = this.#options;
    const own = coverage[table].position;
    if (own?.era !== position.era) {
      return false;
    }
    return table === 'endpoints'
      ? own.revision >= base
      : (routes.version ?? NO_VERSION) >= version &&
          evacuatedZones.isKnownAsOf(position);
  }

  #recordConfirmation(
    table: FeedTable,
    origin: RouterId,
    position: FeedPosition,
    confirmedAt: Instant,
  ): void {
    const { coverage, routes, self } = this.#options;
    if (!coverage[table].record({ origin, position, confirmedAt })) {
      return;
    }
    if (table === 'configuration') {
      routes.recordConfirmation(confirmedAt);
    }
    const sentUpTo = this.#sentUpTo.get(table);
    const isStale =
      sentUpTo === undefined || elapsed(sentUpTo, confirmedAt) > STALE_AFTER;
    if (origin === self || (this.#isRelay && isStale)) {
      this.#isUrgent = true;
    }
  }

  /**
   * A relay passes on the latest confirmations, others only those of their own reads.
   * `base` is the revision after which every change was passed on.
   */
  #confirmations(base: Revision | undefined, now: Instant): Confirmation[] {
    const { self, coverage, routes } = this.#options;
    const confirmations: Confirmation[] = [];
    for (const table of FEED_TABLES) {
      const { latest, position } = coverage[table];
      const isSent = this.#isRelay || latest?.origin === self;
      if (!latest || !position || !isSent) {
        continue;
      }
      confirmations.push([
        table,
        latest.origin,
        position.era,
        base ?? FIRST_REVISION,
        position.revision,
        Math.max(0, elapsed(latest.confirmedAt, now)),
        routes.version ?? NO_VERSION,
      ]);
    }
    return confirmations;
  }

  /** Whether a table was confirmed since the last confirmation that was sent. */
  #hasNewConfirmation(): boolean {
    const { coverage } = this.#options;
    return FEED_TABLES.some(table => {
      const confirmedAt = coverage[table].latest?.confirmedAt;
      return (
        confirmedAt !== undefined && confirmedAt !== this.#sentUpTo.get(table)
      );
    });
  }

  /** The evacuated zones; none before they are known. */
  #zoneTopic(): TopicEntries {
    const { list } = this.#options.evacuatedZones;
    if (!list) {
      return {};
    }
    const { zones, position } = list;
    return { [FeedTopic.zones]: [[position.era, position.revision, zones]] };
  }

  #rowTopics(rows: readonly EndpointRow[]): TopicEntries {
    const { era } = this.#options.endpointReplica;
    return {
      [FeedTopic.rows]: rows.map(row => this.#rowEntry(row)),
      [FeedTopic.versions]: rows.flatMap(({ id, revision: at, entry }) =>
        entry?.softwareVersion === undefined
          ? []
          : [[era, id, at, entry.softwareVersion]],
      ),
    };
  }

  #rowEntry({ id, revision: rowRevision, entry }: EndpointRow): unknown {
    const { era } = this.#options.endpointReplica;
    return [era, id, rowRevision, entry ? entryTuple(entry) : null];
  }

  #recordEra(era: StoreEra): void {
    if (era > this.#newestEra) {
      this.#newestEra = era;
    }
  }
}

function entryTuple(entry: EndpointEntry): z.input<typeof entrySchema> {
  return [
    entry.service,
    entry.address.host,
    entry.address.port,
    entry.zone,
    entry.slots,
    entry.leaving,
    entry.warmUp,
    entry.startedAt ?? null,
  ];
}

function confirmationName(table: FeedTable, origin: string): string {
  return `${table} ${origin}`;
}

function rowName(era: number, key: string, rowRevision: number): string {
  return `${era}/${key}/${rowRevision}`;
}

function entryOf(
  key: string,
  [service, host, port, zone, slots, leaving, warmUp, startedAt]: z.output<
    typeof entrySchema
  >,
  version: SoftwareVersion | undefined,
): EndpointEntry {
  return {
    id: endpointId(key),
    service: serviceId(service),
    address: { host, port },
    zone: zoneId(zone),
    slots,
    leaving,
    warmUp: milliseconds(warmUp),
    startedAt: startedAt ?? undefined,
    softwareVersion: version,
  };
}
