/** The store of the deployment: rows with versions, a feed of changes, and faults. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

interface StoredRow {
  readonly table: string;
  readonly key: string;
  readonly value: string;
  readonly ver: number;
  readonly tombstone?: true;
}

/** What the store does with calls instead of answering them. */
export type StoreFault =
  | 'none'
  /** Calls are answered 503. */
  | 'busy'
  /** Calls are never answered. */
  | 'silent'
  /** Connections are reset. */
  | 'reset'
  /** Writes are done and their answers lost. */
  | 'lost-answers';

interface PendingFeedRead {
  readonly table: string;
  readonly after: number;
  readonly response: ServerResponse;
}

const STATUS_OK = 200;
const STATUS_GONE = 410;
const STATUS_BUSY = 503;

export class RowStoreServer {
  readonly #server: Server;
  readonly #rows = new Map<string, StoredRow>();
  readonly #history: StoredRow[] = [];
  #waiting: PendingFeedRead[] = [];
  #version = 1;
  #oldest = 0;
  #calls = 0;
  fault: StoreFault = 'none';

  constructor() {
    this.#server = createServer((request, response) => {
      void this.#serve(request, response);
    });
  }

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

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

  remove(table: string, key: string): void {
    this.#version += 1;
    this.#put({ table, key, value: '', ver: this.#version, tombstone: true });
  }

  /** Drops the history, so that a feed must begin anew. */
  compact(): void {
    this.#oldest = this.#version;
    this.#history.length = 0;
  }

  /** Ends every call that waits, as a lost connection would. */
  dropFeedConnections(): void {
    for (const { response } of this.#waiting.splice(0)) {
      response.destroy();
    }
  }

  #put(row: StoredRow): void {
    const name = `${row.table}/${row.key}`;
    if (row.tombstone) {
      this.#rows.delete(name);
    } else {
      this.#rows.set(name, row);
    }
    this.#history.push(row);
    const ready = this.#waiting.filter(({ table }) => table === row.table);
    this.#waiting = this.#waiting.filter(({ table }) => table !== row.table);
    for (const { table, after, response } of ready) {
      this.#answerFeed(table, after, response);
    }
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#calls += 1;
    const body = await textOf(request);
    if (this.fault === 'silent') {
      return;
    }
    if (this.fault === 'reset') {
      request.socket.destroy();
      return;
    }
    if (this.fault === 'busy') {
      answer(response, STATUS_BUSY, {});
      return;
    }
    const url = new URL(request.url ?? '/', 'http://store');
    if (url.pathname === '/rows-tx') {
      this.#transact(body, response);
    } else if (url.pathname === '/rows-get') {
      const table = url.searchParams.get('table') ?? '';
      const rows = [...this.#rows.values()].filter(row => row.table === table);
      answer(response, STATUS_OK, {
        rows,
        hasMore: false,
        ver: this.#version,
        nowMs: 0,
      });
    } else {
      this.#feed(url.searchParams, response);
    }
  }

  #transact(body: string, response: ServerResponse): void {
    const { writes } = JSON.parse(body) as {
      readonly writes: readonly Omit<StoredRow, 'ver'>[];
    };
    for (const { table, key, value } of writes) {
      this.#put({ table, key, value, ver: (this.#version += 1) });
    }
    if (this.fault === 'lost-answers') {
      response.destroy();
      return;
    }
    answer(response, STATUS_OK, { ver: this.#version, nowMs: 0 });
  }

  #feed(query: URLSearchParams, response: ServerResponse): void {
    const table = query.get('table') ?? '';
    const after = Number(query.get('sinceRev'));
    if (after < this.#oldest) {
      answer(response, STATUS_GONE, {});
      return;
    }
    const isNews = this.#history.some(
      row => row.table === table && row.ver > after,
    );
    if (isNews) {
      this.#answerFeed(table, after, response);
      return;
    }
    const waiting = { table, after, response };
    this.#waiting.push(waiting);
    setTimeout(
      () => {
        if (this.#waiting.includes(waiting)) {
          this.#waiting = this.#waiting.filter(other => other !== waiting);
          this.#answerFeed(table, after, response);
        }
      },
      Number(query.get('waitMs')),
    ).unref();
  }

  #answerFeed(table: string, after: number, response: ServerResponse): void {
    const rows = this.#history.filter(
      row => row.table === table && row.ver > after,
    );
    answer(response, STATUS_OK, { rows, ver: this.#version, nowMs: 0 });
  }
}

function answer(
  response: ServerResponse,
  status: number,
  document: unknown,
): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(document));
}

async function textOf(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const part of request) {
    chunks.push(part as Buffer);
  }
  return Buffer.concat(chunks).toString();
}
