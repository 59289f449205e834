/**
 * A server of the deployment whose answers a test writes byte by byte, so that
 * it can break off, answer twice, or leave out what an answer should have.
 */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

/** A request as it came. */
export interface ScriptedRequest {
  readonly method: string;
  readonly target: string;
  /** By name in lower case. */
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
  /** Connections that had been accepted when it came, this one included. */
  readonly connection: number;
}

export type Script = (request: ScriptedRequest, socket: Socket) => void;

export class ScriptedServer {
  readonly requests: ScriptedRequest[] = [];
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #script: Script;
  #connections = 0;
  #cancelled = 0;

  constructor(script: Script) {
    this.#script = script;
    this.#server = createServer(socket => {
      this.#accept(socket);
    });
  }

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  get connections(): number {
    return this.#connections;
  }

  /** Connections that the other end closed. */
  get closedConnections(): number {
    return this.#cancelled;
  }

  set script(script: Script) {
    this.#script = script;
  }

  async start(): Promise<this> {
    await new Promise<void>(resolve => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return this;
  }

  async stop(): Promise<void> {
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    await new Promise<void>(resolve => {
      this.#server.close(() => {
        resolve();
      });
    });
  }

  #accept(socket: Socket): void {
    this.#connections += 1;
    const connection = this.#connections;
    this.#sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.#cancelled += 1;
      this.#sockets.delete(socket);
    });
    let pending = '';
    socket.on('data', chunk => {
      pending += chunk.toString('latin1');
      for (;;) {
        const read = readRequest(pending, connection);
        if (!read) {
          return;
        }
        pending = pending.slice(read.length);
        this.requests.push(read.request);
        this.#script(read.request, socket);
      }
    });
  }
}

function readRequest(
  text: string,
  connection: number,
): { readonly request: ScriptedRequest; readonly length: number } | undefined {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) {
    return undefined;
  }
  const [first = '', ...lines] = text.slice(0, end).split('\r\n');
  const [method = '', target = ''] = first.split(' ');
  const headers = new Map(
    lines.map(line => {
      const colon = line.indexOf(':');
      return [
        line.slice(0, colon).toLowerCase(),
        line.slice(colon + 1).trim(),
      ] as const;
    }),
  );
  const size = Number(headers.get('content-length') ?? 0);
  const start = end + 4;
  if (text.length < start + size) {
    return undefined;
  }
  const body = text.slice(start, start + size);
  return {
    request: { method, target, headers, body, connection },
    length: start + size,
  };
}

const idOf = (request: ScriptedRequest) =>
  request.headers.get('sesamegrade-request-id') ?? '';

/** A whole, correct answer. */
export function completeResponse(
  request: ScriptedRequest,
  body: string,
  status = 200,
  extra: readonly string[] = [],
): string {
  return [
    `HTTP/1.1 ${status} Answer`,
    `Sesamegrade-Request-Id: ${idOf(request)}`,
    `Sesamegrade-Server-Stamp: stamp-of-${idOf(request)}`,
    `Content-Length: ${body.length}`,
    ...extra,
    '',
    body,
  ].join('\r\n');
}

/** The head of a stream of events, to be followed by `eventChunk`s and `lastChunk`. */
export function streamHead(request: ScriptedRequest): string {
  return [
    'HTTP/1.1 200 OK',
    `Sesamegrade-Request-Id: ${idOf(request)}`,
    `Sesamegrade-Server-Stamp: stamp-of-${idOf(request)}`,
    'Content-Type: text/event-stream',
    'Transfer-Encoding: chunked',
    '',
    '',
  ].join('\r\n');
}

export function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

export const event = (id: number, text = `event ${id}`): string =>
  `id: ${id}\ndata: ${text}\n\n`;

export const LAST_CHUNK = '0\r\n\r\n';

/** The server states that it ran nothing. */
export function notExecutedResponse(
  request: ScriptedRequest,
  status = 503,
): string {
  return [
    `HTTP/1.1 ${status} Declined`,
    `Sesamegrade-Request-Id: ${idOf(request)}`,
    'Sesamegrade-Not-Executed: 1',
    'Content-Length: 0',
    '',
    '',
  ].join('\r\n');
}
