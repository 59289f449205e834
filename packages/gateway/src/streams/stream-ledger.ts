/**
 * Stores at which services and software versions streams began, while a service has
 * several versions or a route several services: the relay that reads the store for the
 * fleet writes them in batches. Any router, also one that has lost its memory, reads them
 * when a caller resumes a stream that it does not know.
 */
import { z } from 'zod';

import { nameSchema } from '@sesamegrade/core/membership/vm-entry';
import type { StreamUpdates } from '@sesamegrade/core/peers/stream-updates';
import {
  serviceId,
  streamKey,
  softwareVersion,
} from '@sesamegrade/core/types/ids';
import type {
  RouterId,
  ServiceId,
  StreamKey,
} from '@sesamegrade/core/types/ids';
import { groupBySource } from '@sesamegrade/core/software-versions/stream-origins';
import type {
  StreamOrigin,
  StreamOrigins,
  StreamSource,
} from '@sesamegrade/core/software-versions/stream-origins';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { elapsed, milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { DecisionLog } from '../logs/decision-log';
import type { PeerMesh } from '../peers/peer-mesh';
import type { FleetReplica } from '../store/fleet-replica';
import { parseJsonRow } from '../store/json-row';
import type { RowTable } from '../store/row-table';

/** Delay in which new origins are collected before they are sent to the writer or written by it. */
const FLUSH_DELAY: Milliseconds = milliseconds(100);
/** Largest number of origins in a message between routers. */
const MAX_SENT = 1000;
/** Largest number of origins in a row, which keeps it below 64 KiB. */
const MAX_PER_ROW = 1500;
/** Time after which a new row is begun. */
const ROW_SPAN: Milliseconds = seconds(1);
/** Rows that are used in turn; they hold more than the streams of the largest deployment. */
const ROWS = 96;
const KEY_PREFIX = 'streams-';
/** Origins that wait to be written; the oldest are dropped beyond. */
const MAX_UNWRITTEN = 20_000;
/** Minimum time between two reads of the table. */
const READ_PERIOD: Milliseconds = milliseconds(250);

const rowSchema = z.object({
  /** Number of the row; rises with each new one. */
  number: z.int().min(0),
  /** Keys of streams by the version at which they began, as routers of older builds tell them. */
  streams: z.record(nameSchema, z.array(nameSchema)),
  /** Keys of streams by the service and version at which they began; older builds have none. */
  origins: z
    .array(
      z.object({
        service: nameSchema,
        version: nameSchema,
        keys: z.array(nameSchema),
      }),
    )
    .optional(),
  /** Keys of streams whose version is no longer certain; older builds have none. */
  revoked: z.array(nameSchema).optional(),
});

type OriginsRow = z.output<typeof rowSchema>;

export interface StreamLedgerOptions {
  readonly streamRows: RowTable;
  readonly streamOrigins: StreamOrigins;
  readonly streamUpdates: StreamUpdates;
  readonly fleetReplica: Pick<FleetReplica, 'isReader'>;
  readonly peerMesh: Pick<PeerMesh, 'relays' | 'sendTo'>;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
  readonly log: DecisionLog;
}

/** The row that is being filled. */
interface OpenRow {
  readonly number: number;
  readonly begunAt: Instant;
  readonly origins: StreamOrigin[];
}

export class StreamLedger {
  readonly #options: StreamLedgerOptions;
  readonly #unwritten: StreamOrigin[] = [];
  readonly #unsentRevocations: StreamOrigin[] = [];
  #row: OpenRow | undefined;
  #lastNumber: number | undefined;
  #hasTimer = false;
  #isWriting = false;
  #writer: RouterId | undefined;
  #reading: Promise<boolean> | undefined;
  #readAt: Instant | undefined;

  constructor(options: StreamLedgerOptions) {
    this.#options = options;
    options.streamUpdates.onOrigins(origins => {
      this.#unwritten.push(...origins);
      this.#flushSoon();
    });
  }

  /** Tells or writes what has changed, also after another router became the writer. */
  tick(now: Instant): void {
    this.#flush(now);
  }

  /** Records that a stream began whose origin others may need. */
  onBegun(service: ServiceId): void {
    const { streamOrigins, timers } = this.#options;
    if (streamOrigins.areNeeded(service, timers.now())) {
      this.#flushSoon();
    }
  }

  /**
   * Returns where a stream began; undefined if it is not stored. Looks twice, as the
   * origin of a stream that has just begun may still be on its way.
   */
  async sourceOf(key: StreamKey): Promise<StreamSource | undefined> {
    const { streamOrigins, timers } = this.#options;
    for (let look = 0; look < 2; look += 1) {
      const known = streamOrigins.sourceOf(key);
      if (known !== undefined) {
        return known;
      }
      const readAt = this.#readAt;
      const wait =
        readAt === undefined
          ? 0
          : Math.max(0, READ_PERIOD - elapsed(readAt, timers.now()));
      await this.#pause(milliseconds(wait));
      await this.#readOnce();
    }
    return streamOrigins.sourceOf(key);
  }

  #flushSoon(): void {
    if (this.#hasTimer) {
      return;
    }
    this.#hasTimer = true;
    this.#options.timers.after(FLUSH_DELAY, now => {
      this.#hasTimer = false;
      this.#flush(now);
    });
  }

  #flush(now: Instant): void {
    const { streamOrigins, fleetReplica, peerMesh, backgroundTasks } =
      this.#options;
    const [writer] = peerMesh.relays;
    if (writer !== this.#writer) {
      this.#writer = writer;
      streamOrigins.tellAgain();
    }
    const untold = [
      ...streamOrigins.takeUntold(MAX_SENT, now),
      ...this.#unsentRevocations.splice(0),
      ...streamOrigins.takeRevoked(MAX_SENT),
    ];
    if (fleetReplica.isReader) {
      this.#unwritten.push(...untold);
    } else {
      this.#unwritten.length = 0;
      if (untold.length > 0 && !this.#send(untold)) {
        streamOrigins.tellAgain();
        this.#unsentRevocations.push(
          ...untold.filter(({ version }) => version === undefined),
        );
      }
    }
    this.#unwritten.splice(0, this.#unwritten.length - MAX_UNWRITTEN);
    if (this.#unwritten.length > 0 && !this.#isWriting) {
      this.#isWriting = true;
      backgroundTasks.run('stream-rows', async () => {
        try {
          await this.#write();
        } finally {
          this.#isWriting = false;
        }
        if (this.#unwritten.length > 0) {
          this.#flushSoon();
        }
      });
    }
  }

  #send(origins: readonly StreamOrigin[]): boolean {
    const { peerMesh, streamUpdates } = this.#options;
    return (
      this.#writer !== undefined &&
      peerMesh.sendTo(this.#writer, streamUpdates.originsMessage(origins))
    );
  }

  async #write(): Promise<void> {
    const { streamRows, timers, log } = this.#options;
    if (this.#lastNumber === undefined) {
      // Continues after the rows of the writer before.
      const wasRead = await this.#readOnce();
      if (!wasRead) {
        return;
      }
    }
    const row = this.#openRow(timers.now());
    row.origins.push(
      ...this.#unwritten.splice(0, MAX_PER_ROW - row.origins.length),
    );
    const written = await streamRows.put(
      `${KEY_PREFIX}${row.number % ROWS}`,
      new TextEncoder().encode(JSON.stringify(rowDocument(row))),
    );
    if (!written.ok) {
      log.write('streams-not-stored', { failure: written.failure });
      this.#unwritten.unshift(...row.origins);
      this.#row = undefined;
    }
  }

  #openRow(now: Instant): OpenRow {
    const isFull =
      !this.#row ||
      this.#row.origins.length >= MAX_PER_ROW ||
      elapsed(this.#row.begunAt, now) >= ROW_SPAN;
    if (this.#row && !isFull) {
      return this.#row;
    }
    const number = (this.#lastNumber ?? 0) + 1;
    this.#lastNumber = number;
    this.#row = { number, begunAt: now, origins: [] };
    return this.#row;
  }

  /** Reads the table and returns whether that worked; calls at the same time share one read. */
  #readOnce(): Promise<boolean> {
    this.#reading ??= this.#read().finally(() => {
      this.#reading = undefined;
    });
    return this.#reading;
  }

  async #read(): Promise<boolean> {
    const { streamRows, streamOrigins, timers, log } = this.#options;
    const now = timers.now();
    this.#readAt = now;
    const page = await streamRows.readAll();
    if (!page.ok) {
      log.write('streams-not-read', { failure: page.failure });
      return false;
    }
    let last = this.#lastNumber ?? 0;
    for (const { key, value } of page.value.rows) {
      const row = value && parseJsonRow(rowSchema, value);
      if (!row) {
        log.write('stored-streams-malformed', { key });
        continue;
      }
      last = Math.max(last, row.number);
      for (const { source, keys } of sourcesIn(row)) {
        streamOrigins.add(
          keys.map(stream => streamKey(stream)),
          source,
          now,
        );
      }
    }
    this.#lastNumber = last;
    return true;
  }

  #pause(length: Milliseconds): Promise<void> {
    return new Promise(resolve => {
      this.#options.timers.after(length, () => {
        resolve();
      });
    });
  }
}

function rowDocument({ number, origins }: OpenRow): OriginsRow {
  const revoked = origins.filter(({ version }) => version === undefined);
  const row: OriginsRow & { origins: object[] } = {
    number,
    streams: {},
    origins: [],
    ...(revoked.length > 0 ? { revoked: revoked.map(({ key }) => key) } : {}),
  };
  for (const { source, keys } of groupBySource(origins)) {
    const { service, version } = source;
    if (version === undefined) {
      continue;
    }
    if (service === undefined) {
      row.streams[version] = keys;
    } else {
      row.origins.push({ service, version, keys });
    }
  }
  return row;
}

function sourcesIn({ streams, origins = [], revoked = [] }: OriginsRow): {
  readonly source: StreamSource;
  readonly keys: readonly string[];
}[] {
  return [
    ...Object.entries(streams).map(([version, keys]) => ({
      source: { service: undefined, version: softwareVersion(version) },
      keys,
    })),
    ...origins.map(({ service, version, keys }) => ({
      source: {
        service: serviceId(service),
        version: softwareVersion(version),
      },
      keys,
    })),
    { source: { service: undefined, version: undefined }, keys: revoked },
  ];
}
