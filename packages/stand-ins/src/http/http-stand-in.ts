/** Base class of the HTTP stand-ins, and functions that read and send JSON bodies. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import type { Address } from '@sesamegrade/core/types/endpoint';

const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** Address to listen on; port 0 selects any free port. */
export interface ListenOptions {
  readonly host: string;
  readonly port: number;
}

export const LOOPBACK: ListenOptions = { host: '127.0.0.1', port: 0 };

/** The body of a request is not valid JSON or exceeds the size limit. */
export class BodyError extends Error {
  readonly kind = 'body-error';
}

/** An HTTP server; several of them can run in one process. */
export abstract class HttpStandIn {
  readonly #listen: ListenOptions;
  readonly #sockets = new Set<Socket>();
  #server: Server | undefined;
  #address: Address | undefined;

  constructor(listen: ListenOptions) {
    this.#listen = listen;
  }

  /** The address in use; throws before `start` has opened the port. */
  get address(): Address {
    if (!this.#address) {
      throw new Error(
        'the stand-in has no address before start() opens its port',
      );
    }
    return this.#address;
  }

  /** Opens the port and resolves to the address in use; rejects if the port is taken. */
  async start(): Promise<Address> {
    const server = createServer({ keepAliveTimeout: 60_000 });
    server.on('request', (request, response) => {
      this.#serve(request, response).catch((error: unknown) => {
        response.destroy(error instanceof Error ? error : undefined);
      });
    });
    server.on('connection', socket => {
      socket.setNoDelay(true);
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.#listen.port, this.#listen.host, resolve);
    });
    this.#server = server;
    const { port } = server.address() as AddressInfo;
    this.#address = { host: this.#listen.host, port };
    await this.onStarted();
    return this.#address;
  }

  /** Closes the port and every connection. */
  async stop(): Promise<void> {
    const server = this.#server;
    if (!server) {
      return;
    }
    this.#server = undefined;
    await this.onStopping();
    const closed = new Promise<void>(resolve => {
      server.close(() => {
        resolve();
      });
    });
    this.destroyConnections();
    await closed;
  }

  /** Handles one request; a thrown `BodyError` becomes status 400, another error 500. */
  protected abstract handle(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void>;

  /** Called once the port is open. */
  protected onStarted(): Promise<void> {
    return Promise.resolve();
  }

  /** Called before the port and the connections are closed. */
  protected onStopping(): Promise<void> {
    return Promise.resolve();
  }

  /** Destroys every open connection. */
  protected destroyConnections(): void {
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const url = new URL(request.url ?? '/', 'http://stand-in');
      await this.handle(request, response, url);
    } catch (error) {
      if (response.headersSent || response.destroyed) {
        response.destroy();
        return;
      }
      const status = error instanceof BodyError ? 400 : 500;
      const detail = error instanceof Error ? error.message : String(error);
      sendJson(response, status, { error: { message: detail } });
    }
  }
}

/** Reads a complete body; throws `BodyError` above the size limit of 16 MiB. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAX_BODY_BYTES) {
      throw new BodyError('the body is too large');
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Reads a JSON body; throws `BodyError` if it is too large or not valid JSON. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const body = await readBody(request);
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch {
    throw new BodyError('the body is not JSON');
  }
}

/** Sends a complete JSON response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(body),
    ...headers,
  });
  response.end(body);
}

/** Sends a status without a body. */
export function sendStatus(
  response: ServerResponse,
  status: number,
  headers: Readonly<Record<string, string>> = {},
): void {
  response.writeHead(status, headers);
  response.end();
}

/** Returns the first value of a request header, or undefined if it is absent. */
export function header(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
