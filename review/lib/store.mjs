/** Stand-in of the platform's metadata store: rows, a change feed and transactions. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { setTimeout as startTimer } from 'node:timers';

const HISTORY_ROWS = 10_000;

export class Store {
  #server;
  #rows = new Map();
  #history = [];
  #waiting = new Set();
  #version = 1;
  #startedAt = Date.now();

  async start(host) {
    this.#server = createServer((request, response) => {
      void this.#serve(request, response);
    });
    await new Promise(resolve => {
      this.#server.listen(0, host, resolve);
    });
    this.address = `${host}:${this.#server.address().port}`;
    return this;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a document under a key, as the operator or a server does; returns once it is acknowledged. */
  write(table, key, document) {
    const text =
      typeof document === 'string' ? document : JSON.stringify(document);
    this.#version += 1;
    this.#put(table, key, Buffer.from(text).toString('base64'));
  }

  remove(table, key) {
    this.#version += 1;
    this.#put(table, key, undefined);
  }

  #put(table, key, value) {
    const row =
      value === undefined
        ? { table, part: '', key, ver: this.#version, tombstone: true }
        : { table, part: '', key, ver: this.#version, value };
    if (value === undefined) {
      this.#rows.delete(`${table}/${key}`);
    } else {
      this.#rows.set(`${table}/${key}`, row);
    }
    this.#history.push(row);
    if (this.#history.length > HISTORY_ROWS) {
      this.#history.shift();
    }
    for (const waiter of [...this.#waiting]) {
      if (waiter.table === table) {
        waiter.finish();
      }
    }
  }

  async #serve(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    if (pathname === '/rows-get') {
      this.#get(searchParams, response);
    } else if (pathname === '/rows-feed') {
      this.#feed(searchParams, response);
    } else if (pathname === '/rows-tx') {
      this.#transact(JSON.parse(Buffer.concat(chunks).toString()), response);
    } else {
      this.#respond(response, 404, {});
    }
  }

  #get(query, response) {
    const table = query.get('table');
    const from = query.get('from') ?? '';
    const rows = [...this.#rows.values()]
      .filter(row => row.table === table && row.key >= from)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    this.#respond(response, 200, { rows, hasMore: false });
  }

  #feed(query, response) {
    const table = query.get('table');
    const since = Number(query.get('sinceRev'));
    const changed = () =>
      this.#history.filter(row => row.table === table && row.ver > since);
    if (changed().length > 0) {
      this.#respond(response, 200, { rows: changed() });
      return;
    }
    const waiter = {
      table,
      finish: () => {
        if (this.#waiting.delete(waiter)) {
          this.#respond(response, 200, { rows: changed() });
        }
      },
    };
    this.#waiting.add(waiter);
    startTimer(waiter.finish, Number(query.get('waitMs') ?? 0)).unref();
  }

  #transact({ expectRev = [], writes = [], remove = [] }, response) {
    const version = ({ table, key }) =>
      this.#rows.get(`${table}/${key}`)?.ver ?? 0;
    if (expectRev.some(row => version(row) !== row.ver)) {
      const rows = expectRev.flatMap(
        ({ table, key }) => this.#rows.get(`${table}/${key}`) ?? [],
      );
      this.#respond(response, 412, { rows });
      return;
    }
    this.#version += 1;
    for (const { table, key, value } of writes) {
      this.#put(table, key, value);
    }
    for (const { table, key } of remove) {
      this.#put(table, key, undefined);
    }
    this.#respond(response, 200, {});
  }

  #respond(response, status, fields) {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(
      JSON.stringify({
        ...fields,
        ver: this.#version,
        nowMs: Date.now() - this.#startedAt,
      }),
    );
  }
}
