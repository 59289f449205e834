/**
 * A server of the deployment whose responses a test writes byte by byte, so that
 * it can break off, respond twice, or omit required parts of a response.
 */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

/** A request as the server received it. */
export interface ScriptedRequest {
  readonly method: string;
  readonly target: string;
  /** Values by the name of the header in lower case. */
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
  /** Number of its connection in the order of acceptance, starting at 1. */
  readonly connection: number;
}

export type Script = (request: ScriptedRequest, socket: Socket) => void;

/** Requests with this header get their response before their body, which is then discarded. */
export const EARLY_RESPONSE_HEADER = 'x-early-response';

export class ScriptedServer {
  readonly requests: ScriptedRequest[] = [];
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #script: Script;
  #connections = 0;
  #cancelled = 0;
  #isSilent = false;

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

  /** Number of accepted connections that are closed again. */
  get closedConnections(): number {
    return this.#cancelled;
  }

  set script(script: Script) {
    this.#script = script;
  }

  /** Listens on a port of 127.0.0.1; 0 takes any free one. */
  async start(port = 0): Promise<this> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, '127.0.0.1', resolve);
    });
    return this;
  }

  /** Accepts no more connections; those that are open stay so. */
  refuse(): void {
    this.#server.close();
  }

  /** Holds back all bytes that are sent from now on, until `resume`. */
  fallSilent(): void {
    this.#isSilent = true;
    this.#sockets.forEach(socket => {
      socket.cork();
    });
  }

  /** Sends what was held back. */
  resume(): void {
    this.#isSilent = false;
    this.#sockets.forEach(socket => {
      socket.uncork();
    });
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
    if (this.#isSilent) {
      socket.cork();
    }
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.#cancelled += 1;
      this.#sockets.delete(socket);
    });
    let pending = '';
    let discarding = 0;
    socket.on('data', chunk => {
      pending += chunk.toString('latin1');
      for (;;) {
        const discarded = Math.min(discarding, pending.length);
        pending = pending.slice(discarded);
        discarding -= discarded;
        const parsed = parseRequest(pending, connection);
        if (!parsed) {
          return;
        }
        discarding = Math.max(0, parsed.length - pending.length);
        pending = pending.slice(parsed.length);
        this.requests.push(parsed.request);
        this.#script(parsed.request, socket);
      }
    });
  }
}

/**
 * Returns the first request of the text and its length, which may exceed the text if the
 * response is due early; undefined if the request is incomplete.
 */
function parseRequest(
  text: string,
  connection: number,
): { readonly request: ScriptedRequest; readonly length: number } | undefined {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) {
    return undefined;
  }
  const [requestLine = '', ...lines] = text.slice(0, headEnd).split('\r\n');
  const [method = '', target = ''] = requestLine.split(' ');
  const headers = new Map(
    lines.map(line => {
      const colon = line.indexOf(':');
      return [
        line.slice(0, colon).toLowerCase(),
        line.slice(colon + 1).trim(),
      ] as const;
    }),
  );
  const bodyLength = Number(headers.get('content-length') ?? 0);
  const bodyStart = headEnd + 4;
  const isEarly = headers.has(EARLY_RESPONSE_HEADER);
  if (text.length < bodyStart + bodyLength && !isEarly) {
    return undefined;
  }
  const body = text.slice(bodyStart, bodyStart + bodyLength);
  return {
    request: { method, target, headers, body, connection },
    length: bodyStart + bodyLength,
  };
}

const requestIdOf = (request: ScriptedRequest) =>
  request.headers.get('sesamegrade-request-id') ?? '';

/** A complete, correct response. */
export function completeResponse(
  request: ScriptedRequest,
  body: string,
  status = 200,
  extra: readonly string[] = [],
): string {
  return [
    `HTTP/1.1 ${status} Answer`,
    `Sesamegrade-Request-Id: ${requestIdOf(request)}`,
    `Sesamegrade-Server-Stamp: stamp-of-${requestIdOf(request)}`,
    `Content-Length: ${body.length}`,
    ...extra,
    '',
    body,
  ].join('\r\n');
}

/** What a server says of itself on `GET /report`; `born` is its start in Unix milliseconds. */
export function reportResponse(request: ScriptedRequest, born: number): string {
  const headers = ['Content-Type: application/json'];
  return completeResponse(request, JSON.stringify({ born }), 200, headers);
}

/** Whether the request asks the server for what it says of itself. */
export function asksForReport({ method, target }: ScriptedRequest): boolean {
  return method === 'GET' && target === '/report';
}

/** The head of an event stream; `chunk`s with events and `LAST_CHUNK` follow it. */
export function streamHead(
  request: ScriptedRequest,
  extra: readonly string[] = [],
): string {
  return responseHead(request, [...extra, 'Transfer-Encoding: chunked']);
}

/** The head of a response whose end is marked only by the end of the connection, unless `extra` says otherwise. */
export function responseHead(
  request: ScriptedRequest,
  extra: readonly string[] = [],
): string {
  return [
    'HTTP/1.1 200 OK',
    `Sesamegrade-Request-Id: ${requestIdOf(request)}`,
    `Sesamegrade-Server-Stamp: stamp-of-${requestIdOf(request)}`,
    'Content-Type: text/event-stream',
    ...extra,
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

/** A response that states that the server did not execute the request. */
export function notExecutedResponse(
  request: ScriptedRequest,
  status = 503,
  extra: readonly string[] = [],
): string {
  return [
    `HTTP/1.1 ${status} Declined`,
    `Sesamegrade-Request-Id: ${requestIdOf(request)}`,
    'Sesamegrade-Not-Executed: 1',
    'Content-Length: 0',
    ...extra,
    '',
    '',
  ].join('\r\n');
}
