/** Ways to record orders in the table, compared by what a second of writes carries. */
import type { TableModel } from './table-model';
import type { EventQueue } from '../placement/event-queue';

/** Called with the time at which the claim is confirmed. */
export type WriteCallback = (at: number) => void;

export abstract class RecordingStrategy {
  abstract readonly name: string;
  protected readonly queue: EventQueue;
  protected readonly table: TableModel;

  constructor(queue: EventQueue, table: TableModel) {
    this.queue = queue;
    this.table = table;
  }

  /** Records the claim of an order that arrived at a router. */
  abstract recordClaim(
    now: number,
    router: number,
    confirmed: WriteCallback,
  ): void;

  /** Records an order's result; nobody waits for it. */
  abstract recordResult(now: number, router: number): void;
}

/** Each router writes one row for the claim and again for the result. */
export class RowPerOrder extends RecordingStrategy {
  override readonly name: string = 'row per order';

  override recordClaim(
    now: number,
    _router: number,
    confirmed: WriteCallback,
  ): void {
    this.table.write(now, 1, confirmed);
  }

  override recordResult(now: number): void {
    this.table.write(now, 1, () => undefined);
  }
}

const NOTHING = (): void => undefined;

/** Collects entries of one writer and writes them together. */
class Batch {
  readonly #queue: EventQueue;
  readonly #write: (now: number, entries: number, done: WriteCallback) => void;
  readonly #period: number;
  #waiting: WriteCallback[] = [];
  #isOpen = false;

  constructor(
    queue: EventQueue,
    period: number,
    write: (now: number, entries: number, done: WriteCallback) => void,
  ) {
    this.#queue = queue;
    this.#period = period;
    this.#write = write;
  }

  /** The first entry after a pause waits one period, or for the write under way. */
  add(now: number, done: WriteCallback): void {
    this.#waiting.push(done);
    if (!this.#isOpen) {
      this.#isOpen = true;
      this.#flushAt(now + this.#period);
    }
  }

  #flushAt(at: number): void {
    this.#queue.add(at, () => {
      const batch = this.#waiting;
      this.#waiting = [];
      this.#write(at, batch.length, written => {
        for (const done of batch) {
          done(written);
        }
        this.#next(Math.max(written, at + this.#period));
      });
    });
  }

  #next(at: number): void {
    if (this.#waiting.length > 0) {
      this.#flushAt(at);
    } else {
      this.#isOpen = false;
    }
  }
}

const TRANSACTION_PERIOD_MS = 20;

/** Each router writes its rows in transactions; every row counts. */
export class RowsInTransactions extends RecordingStrategy {
  override readonly name = 'rows in transactions';
  readonly #batches = new Map<number, Batch>();

  override recordClaim(
    now: number,
    router: number,
    confirmed: WriteCallback,
  ): void {
    this.#batchOf(router).add(now, confirmed);
  }

  override recordResult(now: number, router: number): void {
    this.#batchOf(router).add(now, NOTHING);
  }

  #batchOf(router: number): Batch {
    const known = this.#batches.get(router);
    if (known) {
      return known;
    }
    const batch = new Batch(
      this.queue,
      TRANSACTION_PERIOD_MS,
      (now, entries, done) => {
        this.table.write(now, entries, done);
      },
    );
    this.#batches.set(router, batch);
    return batch;
  }
}

const RESULT_PERIOD_MS = 250;

/** A row for each claim; results of one router share a row. */
export class SharedResultRows extends RowPerOrder {
  override readonly name = 'row per claim, shared result rows';
  readonly #batches = new Map<number, Batch>();

  override recordResult(now: number, router = 0): void {
    const known = this.#batches.get(router);
    const batch =
      known ??
      new Batch(this.queue, RESULT_PERIOD_MS, (at, _entries, done) => {
        this.table.write(at, 1, done);
      });
    this.#batches.set(router, batch);
    batch.add(now, NOTHING);
  }
}

/** One way between two routers, in milliseconds. */
const HOP_MS = 1.2;
const KEEPER_PERIOD_MS = 20;

/**
 * A few keepers by hash of the key, each with one row that holds many orders:
 * claims and results that came since the last write go out in the next.
 */
export class OwnerRows extends RecordingStrategy {
  override readonly name: string;
  readonly #batches: readonly Batch[];
  #next = 0;

  constructor(queue: EventQueue, table: TableModel, keepers: number) {
    super(queue, table);
    this.name = `${keepers} keepers with shared rows`;
    this.#batches = Array.from(
      { length: keepers },
      () =>
        new Batch(queue, KEEPER_PERIOD_MS, (now, _entries, done) => {
          table.write(now, 1, done);
        }),
    );
  }

  override recordClaim(
    now: number,
    _router: number,
    confirmed: WriteCallback,
  ): void {
    this.#add(now, at => {
      confirmed(at + HOP_MS);
    });
  }

  override recordResult(now: number): void {
    this.#add(now, NOTHING);
  }

  /** Keys spread evenly over the keepers. */
  #add(now: number, done: WriteCallback): void {
    const batch = this.#batches[this.#next % this.#batches.length];
    this.#next += 1;
    const arrival = now + HOP_MS;
    this.queue.add(arrival, () => {
      batch?.add(arrival, done);
    });
  }
}
