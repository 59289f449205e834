/** The store's table of streams with the classes that read and write it, for tests with an injected clock. */
import type { DecisionLog } from '../../logs/decision-log';
import { DefaultVersions } from '@sesamegrade/core/software-versions/default-versions';
import type { FeedTable } from '@sesamegrade/core/peers/feed-updates';
import { StreamOrigins } from '@sesamegrade/core/software-versions/stream-origins';
import type { StreamOrigin } from '@sesamegrade/core/software-versions/stream-origins';
import type { Random } from '@sesamegrade/core/random/random';
import type { FeedPosition } from '@sesamegrade/core/store/feed-position';
import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import {
  requestId,
  serviceId,
  softwareVersion,
} from '@sesamegrade/core/types/ids';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import { decodeOrigins } from '../origin-row';
import type { OriginsRow } from '../origin-row';
import { keyOfStream } from '../stream-key';
import { OriginTable } from '../origin-table';
import { OriginWriter } from '../origin-writer';
import type { OriginWriterOptions } from '../origin-writer';
import {
  MemoryTable,
  ReachedFeed,
  ReachedTable,
  RevisionCounter,
} from './memory-table';
import type { StoreReach } from './memory-table';

export const STREAM_LIFETIME: Milliseconds = seconds(5);
const STEP: Milliseconds = milliseconds(5);

export const silentLog = { write: () => undefined } as unknown as DecisionLog;

/** The origin of a stream at the second version of a service. */
export function originOf(id: string): StreamOrigin {
  return {
    key: keyOfStream(requestId(id)),
    service: serviceId('s'),
    version: softwareVersion('v2'),
    attempt: 1,
  };
}

export class ReachedStore {
  readonly timers = new ManualTimerService();
  readonly counter = new RevisionCounter();
  readonly table = new MemoryTable(this.counter);
  readonly streamOrigins = new StreamOrigins(() => this.lifetime);
  readonly defaultVersions = new DefaultVersions();
  readonly backgroundTasks = new BackgroundTasks(({ error }) => {
    throw error;
  });
  reach: StoreReach = 'answers';
  /** The life of streams that its readers and writers go by. */
  lifetime = STREAM_LIFETIME;
  /** Time in ms by which answers to reads are behind. */
  lag = 0;
  /** Latest positions of the store that the router knows of by its other tables. */
  readonly coverage: Record<FeedTable, { position: FeedPosition | undefined }> =
    {
      endpoints: { position: undefined },
      configuration: { position: undefined },
    };

  readonly #reached = {
    table: this.table,
    reach: () => this.reach,
    timers: this.timers,
    position: () => this.counter.position(this.timers.now() - this.lag),
    clock: () => this.timers.now(),
  };
  readonly rows = new ReachedTable(this.#reached);
  readonly feed = new ReachedFeed(this.#reached);

  /** Keys of all streams that the store has records of. */
  get storedKeys(): Set<string> {
    const keys = this.decodedRows.flatMap(({ groups }) =>
      groups.flatMap(group => group.keys),
    );
    return new Set(keys);
  }

  get decodedRows(): OriginsRow[] {
    return this.table
      .rows(this.counter.position(Infinity))
      .flatMap(({ value }) => (value && decodeOrigins(value)) ?? []);
  }

  originTable(
    streamFeed: Pick<ReachedFeed, 'readAll' | 'readChanges'> = this.feed,
  ): OriginTable {
    return new OriginTable({
      ...this.#shared(),
      streamFeed,
      streamLifetime: () => this.lifetime,
      coverage: this.coverage,
    });
  }

  originWriter(
    random: Random,
    streamRows: OriginWriterOptions['streamRows'] = this.rows,
  ): OriginWriter {
    return new OriginWriter({
      ...this.#shared(),
      streamRows,
      originTable: this.originTable(),
      streamLifetime: () => this.lifetime,
      random,
    });
  }

  /** Lets time pass in steps, after each of which the calls that are answered go on. */
  async pass(length: number): Promise<void> {
    await settle();
    for (let passed = 0; passed < length; passed += STEP) {
      this.timers.advance(STEP);
      await settle();
    }
  }

  #shared() {
    const { timers, backgroundTasks, streamOrigins, defaultVersions } = this;
    return {
      timers,
      backgroundTasks,
      streamOrigins,
      defaultVersions,
      log: silentLog,
    };
  }
}

function settle(): Promise<void> {
  return new Promise(resolve => {
    setImmediate(resolve);
  });
}
