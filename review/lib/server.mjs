/** Stand-in of a server: keeps channels, checks its instance, and answers as the case says. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:net';

export class Server {
  #server;
  #sockets = new Set();
  /** Requests that ran, with the number of events or bytes that were sent. */
  runs = [];

  /** `answer(request, socket, run)` writes the answer; `run.sent` counts what was made. */
  constructor({
    id,
    service,
    zone,
    version = 'v1',
    slots = 64,
    answer,
    record,
  }) {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.version = version;
    this.slots = slots;
    this.answer = answer;
    this.record = record;
  }

  async start(host, backlog = 511) {
    this.#server = createServer({ noDelay: true }, socket => {
      this.#accept(socket);
    });
    await new Promise(resolve => {
      this.#server.listen({ host, port: 0, backlog }, resolve);
    });
    this.address = `${host}:${this.#server.address().port}`;
    return this;
  }

  /** The entry that the server writes under its id. */
  entry(fields = {}) {
    return {
      id: this.id,
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state: 'ready',
      warmupMs: 0,
      seq: 1,
      born: this.bornAt ?? (this.bornAt = Date.now()),
      ...fields,
    };
  }

  stop() {
    this.#server.close();
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }

  #accept(socket) {
    this.#sockets.add(socket);
    let pending = Buffer.alloc(0);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.#sockets.delete(socket);
    });
    socket.on('data', bytes => {
      pending = Buffer.concat([pending, bytes]);
      for (;;) {
        const parsed = parseRequest(pending);
        if (!parsed) {
          return;
        }
        pending = pending.subarray(parsed.length);
        this.#serve(parsed.request, socket);
      }
    });
  }

  #serve(request, socket) {
    const { headers, method, target } = request;
    const id = headers.get('sesamegrade-request-id') ?? '';
    const expected = headers.get('sesamegrade-expect-instance');
    if (target === '/kv-list' || target === '/health') {
      const body =
        target === '/kv-list'
          ? JSON.stringify({ epoch: 1, next: 0, held: [] })
          : 'ok';
      socket.write(
        `HTTP/1.1 200 OK\r\nSesamegrade-Instance-Id: ${this.id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      );
      return;
    }
    if (expected !== undefined && expected !== this.id) {
      socket.write(
        `HTTP/1.1 421 Other Instance\r\nSesamegrade-Request-Id: ${id}\r\nSesamegrade-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
      );
      return;
    }
    const run = { id, server: this.id, method, target, sent: 0 };
    this.runs.push(run);
    this.record(`server ${this.id}: runs ${id} ${method} ${target}`);
    this.answer(request, socket, run);
  }
}

function parseRequest(bytes) {
  const headEnd = bytes.indexOf('\r\n\r\n');
  if (headEnd < 0) {
    return undefined;
  }
  const [requestLine, ...lines] = bytes
    .subarray(0, headEnd)
    .toString('latin1')
    .split('\r\n');
  const [method, target] = requestLine.split(' ');
  const headers = new Map(
    lines.map(line => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const bodyLength = Number(headers.get('content-length') ?? 0);
  const length = headEnd + 4 + bodyLength;
  if (bytes.length < length) {
    return undefined;
  }
  const body = bytes.subarray(headEnd + 4, length);
  return { request: { method, target, headers, body }, length };
}

/** Head of an answer with the server's receipt. */
export function answerHead(run, headers = []) {
  return [
    'HTTP/1.1 200 OK',
    `Sesamegrade-Request-Id: ${run.id}`,
    `Sesamegrade-Server-Stamp: ${run.server}.${run.id}`,
    ...headers,
    '',
    '',
  ].join('\r\n');
}

export function chunk(text) {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

export const LAST_CHUNK = '0\r\n\r\n';

/** One event; `origin` is part of its data. */
export function event(id, origin = '') {
  return `id: ${id}\ndata: piece ${id}${origin && ` by ${origin}`}\n\n`;
}
