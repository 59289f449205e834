/** Strategies for recording orders in the store, compared by the orders per second that its write limit allows. */
import type { TableModel } from './table-model';
import type { EventQueue } from '../placement/event-queue';

/** Called with the time at which the write is confirmed. */
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

  /** Records an order's result; no caller waits for the write. */
  abstract recordResult(now: number, router: number): void;
}

/** Each router writes one row for the claim and one for the result. */
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

const NO_CALLBACK = (): void => undefined;

/** Collects entries of one writer and writes them together. */
class Batch {
  readonly #queue: EventQueue;
  readonly #write: (now: number, entries: number, done: WriteCallback) => void;
  readonly #period: number;
  #pending: WriteCallback[] = [];
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

  /** Adds an entry; it is written after one period, or after the write in progress if that ends later. */
  add(now: number, done: WriteCallback): void {
    this.#pending.push(done);
    if (!this.#isOpen) {
      this.#isOpen = true;
      this.#flushAt(now + this.#period);
    }
  }

  #flushAt(at: number): void {
    this.#queue.add(at, () => {
      const batch = this.#pending;
      this.#pending = [];
      this.#write(at, batch.length, written => {
        for (const done of batch) {
          done(written);
        }
        this.#flushIfPending(Math.max(written, at + this.#period));
      });
    });
  }

  #flushIfPending(at: number): void {
    if (this.#pending.length > 0) {
      this.#flushAt(at);
    } else {
      this.#isOpen = false;
    }
  }
}

const TRANSACTION_PERIOD_MS = 20;

/** Each router writes its rows in transactions; the store's limit counts every row. */
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
    this.#batchOf(router).add(now, NO_CALLBACK);
  }

  #batchOf(router: number): Batch {
    const existing = this.#batches.get(router);
    if (existing) {
      return existing;
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

/** Writes a row for each claim; the results of one router share a row. */
export class SharedResultRows extends RowPerOrder {
  override readonly name = 'row per claim, shared result rows';
  readonly #batches = new Map<number, Batch>();

  override recordResult(now: number, router = 0): void {
    const existing = this.#batches.get(router);
    const batch =
      existing ??
      new Batch(this.queue, RESULT_PERIOD_MS, (at, _entries, done) => {
        this.table.write(at, 1, done);
      });
    this.#batches.set(router, batch);
    batch.add(now, NO_CALLBACK);
  }
}

/** One-way delay between two routers. */
const ROUTER_HOP_MS = 1.2;
const OWNER_PERIOD_MS = 20;

/**
 * Owners chosen by the hash of the key each write one row that holds many orders:
 * claims and results since the last write go into the next one.
 */
export class OwnerRows extends RecordingStrategy {
  override readonly name: string;
  readonly #batches: readonly Batch[];
  #next = 0;

  constructor(queue: EventQueue, table: TableModel, ownerCount: number) {
    super(queue, table);
    this.name = `${ownerCount} keepers with shared rows`;
    this.#batches = Array.from(
      { length: ownerCount },
      () =>
        new Batch(queue, OWNER_PERIOD_MS, (now, _entries, done) => {
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
      confirmed(at + ROUTER_HOP_MS);
    });
  }

  override recordResult(now: number): void {
    this.#add(now, NO_CALLBACK);
  }

  /** Distributes the keys evenly over the owners. */
  #add(now: number, done: WriteCallback): void {
    const batch = this.#batches[this.#next % this.#batches.length];
    this.#next += 1;
    const arrival = now + ROUTER_HOP_MS;
    this.queue.add(arrival, () => {
      batch?.add(arrival, done);
    });
  }
}
