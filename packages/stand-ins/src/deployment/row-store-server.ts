/** Stand-in for the row store of a deployment: versioned rows, a change feed, and faults. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { performance } from 'node:perf_hooks';

interface StoredRow {
  readonly table: string;
  readonly key: string;
  readonly value: string;
  readonly ver: number;
  readonly tombstone?: true;
}

/** How the store fails requests. */
export type StoreFault =
  | 'none'
  /** Responds 503. */
  | 'busy'
  /** Never responds. */
  | 'silent'
  /** Resets the connection. */
  | 'reset'
  /** Applies writes and closes the connection without a response. */
  | 'lost-answers';

/** A copy of the rows, from which the store can be restored. */
export interface StoreCopy {
  readonly rows: ReadonlyMap<string, StoredRow>;
  readonly version: number;
}

interface PendingFeedRead {
  readonly table: string;
  readonly after: number;
  readonly response: ServerResponse;
}

/** Limits of a page of a table. */
const PAGE_ROWS = 500;
const PAGE_BYTES = 1_048_576;
/** Time between two looks whether the store still responds to nobody. */
const SILENCE_POLL_MS = 50;
const STATUS_OK = 200;
const STATUS_GONE = 410;
const STATUS_PRECONDITION_FAILED = 412;
const STATUS_BUSY = 503;

export class RowStoreServer {
  readonly #server: Server;
  readonly #rows = new Map<string, StoredRow>();
  /** Every change since the last compaction, oldest first. */
  readonly #history: StoredRow[] = [];
  /** What responses contain in place of rows that are damaged. */
  readonly #damagedRows = new Map<StoredRow, unknown>();
  #pendingFeedReads: PendingFeedRead[] = [];
  #version = 1;
  #compactedVersion = 0;
  #calls = 0;
  #era = 1;
  fault: StoreFault = 'none';

  constructor() {
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch((error: unknown) => {
        response.destroy(error instanceof Error ? error : undefined);
      });
    });
  }

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Number of requests received. */
  get calls(): number {
    return this.#calls;
  }

  async start(): Promise<this> {
    await new Promise<void>(resolve => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return this;
  }

  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>(resolve => {
      this.#server.close(() => {
        resolve();
      });
    });
  }

  /** Writes a document, or any text, under a key. */
  write(table: string, key: string, document: unknown): void {
    const text =
      typeof document === 'string' ? document : JSON.stringify(document);
    this.#put({
      table,
      key,
      value: Buffer.from(text).toString('base64'),
      ver: (this.#version += 1),
    });
  }

  /** Writes a row whose fields are replaced by others, of any type; undefined leaves one out. */
  writeDamaged(
    table: string,
    key: string,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    const row = { table, key, value: '', ver: (this.#version += 1) };
    this.#put(row, { ...row, ...fields });
  }

  remove(table: string, key: string): void {
    this.#version += 1;
    this.#put({ table, key, value: '', ver: this.#version, tombstone: true });
  }

  /** Discards the history, so that readers of older versions get status 410 and start over. */
  compact(): void {
    this.#compactedVersion = this.#version;
    this.#history.length = 0;
  }

  /** Copies the rows as they are now. */
  copy(): StoreCopy {
    return { rows: new Map(this.#rows), version: this.#version };
  }

  /**
   * Comes back from an older copy: what was written since is gone, versions are
   * given out again, and the era rises by one.
   */
  restore(copy: StoreCopy): void {
    this.#rows.clear();
    for (const [id, row] of copy.rows) {
      this.#rows.set(id, row);
    }
    this.#version = copy.version;
    this.#compactedVersion = copy.version;
    this.#history.length = 0;
    this.#era += 1;
    this.dropFeedConnections();
  }

  /** The value of a row as text; undefined if there is none. */
  read(table: string, key: string): string | undefined {
    const row = this.#rows.get(`${table}/${key}`);
    return row && Buffer.from(row.value, 'base64').toString();
  }

  /** Closes the connection of every pending feed read. */
  dropFeedConnections(): void {
    for (const { response } of this.#pendingFeedReads.splice(0)) {
      response.destroy();
    }
  }

  #put(row: StoredRow, response: unknown = row): void {
    const id = `${row.table}/${row.key}`;
    if (row.tombstone) {
      this.#rows.delete(id);
    } else {
      this.#rows.set(id, row);
    }
    if (response !== row) {
      this.#damagedRows.set(row, response);
    }
    this.#history.push(row);
    const matching = this.#pendingFeedReads.filter(
      ({ table }) => table === row.table,
    );
    this.#pendingFeedReads = this.#pendingFeedReads.filter(
      ({ table }) => table !== row.table,
    );
    for (const { table, after, response } of matching) {
      this.#respondToFeed(table, after, response);
    }
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#calls += 1;
    response.setHeader('Store-Era', String(this.#era));
    const body = await readText(request);
    if (this.fault === 'silent') {
      return;
    }
    if (this.fault === 'reset') {
      request.socket.destroy();
      return;
    }
    if (this.fault === 'busy') {
      respond(response, STATUS_BUSY, {});
      return;
    }
    const url = new URL(request.url ?? '/', 'http://store');
    if (url.pathname === '/rows-tx') {
      this.#transact(body, response);
    } else if (url.pathname === '/rows-get') {
      this.#list(url.searchParams, response);
    } else {
      this.#feed(url.searchParams, response);
    }
  }

  #transact(body: string, response: ServerResponse): void {
    const { expectRev, writes } = JSON.parse(body) as {
      readonly expectRev: readonly Pick<StoredRow, 'table' | 'key' | 'ver'>[];
      readonly writes: readonly Omit<StoredRow, 'ver'>[];
    };
    const isAsExpected = expectRev.every(
      ({ table, key, ver }) =>
        (this.#rows.get(`${table}/${key}`)?.ver ?? 0) === ver,
    );
    if (!isAsExpected) {
      respond(response, STATUS_PRECONDITION_FAILED, { rows: [] });
      return;
    }
    for (const { table, key, value } of writes) {
      this.#put({ table, key, value, ver: (this.#version += 1) });
    }
    if (this.fault === 'lost-answers') {
      response.destroy();
      return;
    }
    respond(response, STATUS_OK, {
      ver: this.#version,
      nowMs: steadyTime(),
    });
  }

  /** Responds with rows in the order of their keys, as many as a page holds. */
  #list(query: URLSearchParams, response: ServerResponse): void {
    const table = query.get('table') ?? '';
    const from = Buffer.from(query.get('from') ?? '');
    const rest = [...this.#rows.values()]
      .filter(row => row.table === table)
      .map(row => ({ row, order: Buffer.from(row.key) }))
      .filter(({ order }) => order.compare(from) >= 0)
      .sort((left, right) => left.order.compare(right.order))
      .map(({ row }) => row);
    const page: StoredRow[] = [];
    let size = 0;
    for (const row of rest) {
      size += row.value.length;
      if (page.length >= PAGE_ROWS || (page.length > 0 && size > PAGE_BYTES)) {
        break;
      }
      page.push(row);
    }
    respond(response, STATUS_OK, {
      rows: this.#asSent(page),
      hasMore: page.length < rest.length,
      ver: this.#version,
      nowMs: steadyTime(),
    });
  }

  #feed(query: URLSearchParams, response: ServerResponse): void {
    const table = query.get('table') ?? '';
    const after = Number(query.get('sinceRev'));
    if (after < this.#compactedVersion || after > this.#version) {
      respond(response, STATUS_GONE, {});
      return;
    }
    const hasNewRows = this.#history.some(
      row => row.table === table && row.ver > after,
    );
    if (hasNewRows) {
      this.#respondToFeed(table, after, response);
      return;
    }
    const pending = { table, after, response };
    this.#pendingFeedReads.push(pending);
    setTimeout(
      () => {
        if (this.#pendingFeedReads.includes(pending)) {
          this.#pendingFeedReads = this.#pendingFeedReads.filter(
            other => other !== pending,
          );
          this.#respondToFeed(table, after, response);
        }
      },
      Number(query.get('waitMs')),
    ).unref();
  }

  #respondToFeed(table: string, after: number, response: ServerResponse): void {
    if (this.fault === 'silent') {
      setTimeout(() => {
        this.#respondToFeed(table, after, response);
      }, SILENCE_POLL_MS).unref();
      return;
    }
    const rows = this.#history.filter(
      row => row.table === table && row.ver > after,
    );
    respond(response, STATUS_OK, {
      rows: this.#asSent(rows),
      ver: this.#version,
      nowMs: steadyTime(),
    });
  }

  #asSent(rows: readonly StoredRow[]): unknown[] {
    return rows.map(row => this.#damagedRows.get(row) ?? row);
  }
}

function steadyTime(): number {
  return Math.round(performance.now());
}

function respond(
  response: ServerResponse,
  status: number,
  document: unknown,
): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(document));
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString();
}
