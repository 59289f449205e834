/** One connection to an endpoint, which carries one request at a time. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';

import { Client } from 'undici';
import type { Dispatcher } from 'undici';

import type { Address } from '@sesamegrade/core/types/endpoint';
import { elapsed, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { HeaderList } from '../callers/caller-protocol';

/** Margin by which a connection is given up before the endpoint's own limit. */
const KEEP_MARGIN_MS = 300;
const LONGEST_KEPT_MS = 60_000;
/** Unused time after which a connection is not trusted when the endpoint names no limit. */
const UNTOLD_KEEP_TIME = milliseconds(30_000);
/** Part of the endpoint's limit up to which an unused connection is trusted. */
const KEEP_SHARE = 0.7;

/** How the exchange on the connection ended. */
export type ExchangeResult =
  | { readonly kind: 'complete' }
  /** No byte of the request was sent. */
  | { readonly kind: 'not-connected'; readonly cause: string }
  | { readonly kind: 'broken'; readonly cause: string };

export interface EndpointRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderList;
  readonly body: Buffer | undefined;
}

/** Told of one exchange; `ended` comes last and exactly once. */
export interface ExchangeListener {
  /** The first bytes of the request go out now. */
  onSent(): void;
  onHead(status: number, headers: HeaderList): void;
  /** Returns false to pause until `resume`. */
  onData(chunk: Buffer): boolean;
  onEnd(end: ExchangeResult): void;
}

export class EndpointConnection {
  readonly #client: Client;
  readonly #connectTime: Milliseconds;
  #socket: Socket | undefined;
  #connected = false;
  #closed = false;
  #wasReset = false;
  #controller: Dispatcher.DispatchController | undefined;
  #usedAt: Instant | undefined;
  #keepTime: Milliseconds = UNTOLD_KEEP_TIME;
  #exchanges = 0;

  /** Gives up after `connectTime` without a connection. */
  constructor(
    address: Address,
    connectTime: Milliseconds,
    onClosed: (channel: EndpointConnection) => void,
  ) {
    this.#connectTime = connectTime;
    const { host, port } = address;
    this.#client = new Client(`http://${host}:${port}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: LONGEST_KEPT_MS,
      keepAliveMaxTimeout: LONGEST_KEPT_MS,
      keepAliveTimeoutThreshold: KEEP_MARGIN_MS,
      connect: (_options, callback) => {
        this.#open(host, port, callback);
      },
    });
    this.#client.on('disconnect', () => {
      this.#connected = false;
      this.#closed = true;
      onClosed(this);
    });
  }

  get isClosed(): boolean {
    return this.#closed;
  }

  /** Exchanges that were begun on this connection. */
  get exchangeCount(): number {
    return this.#exchanges;
  }

  /** Time since the last exchange ended; undefined before the first one's end. */
  idleTime(now: Instant): Milliseconds | undefined {
    return this.#usedAt === undefined ? undefined : elapsed(this.#usedAt, now);
  }

  /** Whether an unused connection is likely to be still open at the other end. */
  isReusable(now: Instant, longest: Milliseconds): boolean {
    if (this.#closed || !this.#connected || this.#usedAt === undefined) {
      return false;
    }
    return elapsed(this.#usedAt, now) <= Math.min(this.#keepTime, longest);
  }

  /** Notes that an exchange ended whole and how long the endpoint keeps the connection. */
  markIdle(now: Instant, keepTime: Milliseconds | undefined): void {
    this.#usedAt = now;
    if (keepTime !== undefined) {
      this.#keepTime = milliseconds(keepTime * KEEP_SHARE);
    }
  }

  send(request: EndpointRequest, listener: ExchangeListener): void {
    this.#exchanges += 1;
    let wasSent = false;
    this.#client.dispatch(
      {
        method: request.method,
        path: request.target,
        headers: [...request.headers],
        body: request.body ?? null,
      },
      {
        onRequestStart: controller => {
          this.#controller = controller;
          wasSent = true;
          listener.onSent();
        },
        onResponseStart: (controller, status) => {
          listener.onHead(status, textHeaders(controller.rawHeaders));
        },
        onResponseData: (controller, chunk) => {
          if (!listener.onData(chunk)) {
            controller.pause();
          }
        },
        onResponseEnd: () => {
          listener.onEnd(
            this.#wasReset
              ? { kind: 'broken', cause: 'reset' }
              : { kind: 'complete' },
          );
        },
        onResponseError: (_controller, error) => {
          const cause = causeOf(error);
          listener.onEnd({ kind: wasSent ? 'broken' : 'not-connected', cause });
        },
      },
    );
  }

  /** Goes on after `data` returned false. */
  resume(): void {
    this.#controller?.resume();
  }

  /** Ends the connection and whatever runs on it. */
  destroy(): void {
    this.#closed = true;
    this.#socket?.destroy();
    this.#client.destroy().catch(() => undefined);
  }

  #open(
    host: string,
    port: number,
    callback: (...result: [Error, null] | [null, Socket]) => void,
  ): void {
    if (this.#socket || this.#closed) {
      // Each connection is made once; a second one would hide that the first broke.
      callback(new ConnectionClosed(), null);
      return;
    }
    const socket = connect({ host, port, noDelay: true });
    this.#socket = socket;
    const timer = setTimeout(() => {
      socket.destroy(new ConnectionTimeout());
    }, this.#connectTime);
    let told = false;
    socket.once('connect', () => {
      clearTimeout(timer);
      told = true;
      this.#connected = true;
      callback(null, socket);
    });
    // Registered before undici's own listener, which may take a reset for an end.
    socket.on('error', error => {
      this.#wasReset = true;
      clearTimeout(timer);
      if (!told) {
        told = true;
        callback(error, null);
      }
    });
  }
}

class ConnectionClosed extends Error {
  readonly code = 'CONNECTION_CLOSED';
}

class ConnectionTimeout extends Error {
  readonly code = 'CONNECT_TIMEOUT';
}

function causeOf(error: unknown): string {
  if (!(error instanceof Error)) {
    return 'unknown';
  }
  const { code } = error as NodeJS.ErrnoException;
  return typeof code === 'string' ? code : error.message;
}

function textHeaders(raw: unknown): string[] {
  const list = Array.isArray(raw) ? (raw as (Buffer | string)[]) : [];
  return list.map(item =>
    typeof item === 'string' ? item : item.toString('latin1'),
  );
}
