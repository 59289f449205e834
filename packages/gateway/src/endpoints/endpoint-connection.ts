/** One HTTP connection to an endpoint, which carries one request at a time. */
import type { Readable } from 'node:stream';

import { Client } from 'undici';
import type { Dispatcher } from 'undici';

import { formatAddress } from '@sesamegrade/core/types/address';
import type { Address } from '@sesamegrade/core/types/endpoint';
import { isHttpStatus } from '@sesamegrade/core/types/http-status';
import type { RouterId } from '@sesamegrade/core/types/ids';
import { elapsed, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { HeaderList } from '../callers/caller-protocol';
import { BODY_PIECE_BYTES } from '../callers/request-body';
import type { RequestBody } from '../callers/request-body';
import type { BoundedSocket } from '../http/bounded-socket';
import type { Dialing, EndpointDialer } from './endpoint-dialer';

/** Idle connections are closed this long before the endpoint's own limit. */
const KEEP_ALIVE_MARGIN_MS = 300;
const MAX_KEEP_ALIVE_MS = 60_000;
/**
 * Idle time after which a connection is not reused when the endpoint announces
 * no keep-alive timeout.
 */
const DEFAULT_KEEP_ALIVE_TIMEOUT = milliseconds(30_000);
/** Share of the endpoint's keep-alive timeout within which an idle connection is reused. */
const KEEP_ALIVE_SHARE = 0.7;

/** Largest head of a response in bytes. */
const MAX_HEAD_BYTES = 16_384;

/**
 * A status line in a reason or a field: an endpoint stopped in the middle of a head, and
 * another response took the place of its rest.
 */
const STATUS_LINE = /HTTP\/\d\.\d \d{3}(?!\d)/u;

/** Error code of a response whose head consists of parts of two. */
export const JOINED_HEADS = 'JOINED_HEADS';

/** Error code of a response whose status is outside of those of HTTP. */
export const INVALID_STATUS = 'INVALID_STATUS';

/** Lowest HTTP status that is not one of an interim response. */
const MIN_FINAL_STATUS = 200;

/** Result of one request on the connection. */
export type ExchangeResult =
  | { readonly kind: 'complete' }
  /**
   * The endpoint ended the connection before the request was written whole. The response is
   * complete only if its framing says so: a reset looks like a regular end here.
   */
  | { readonly kind: 'ended-early'; readonly unwrittenBytes: number }
  /** No byte of the request was sent. */
  | { readonly kind: 'not-connected'; readonly cause: string }
  /** The connection broke after bytes of the request may have been sent. */
  | { readonly kind: 'broken'; readonly cause: string };

export interface EndpointRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderList;
  readonly body: RequestBody | undefined;
}

/** Receives the events of one request and its response; `onEnd` comes last and exactly once. */
export interface ExchangeListener {
  /** The first bytes of the request are about to be sent. */
  onSent(): void;
  /** The body of the request was handed to the operating system; not called for one that is written at once. */
  onBodyWritten?(): void;
  onHead(status: number, headers: HeaderList): void;
  /** Returns false to pause the response until `resume`. */
  onData(chunk: Buffer): boolean;
  onEnd(result: ExchangeResult): void;
}

export class EndpointConnection {
  readonly #client: Client;
  readonly #connectTimeout: Milliseconds;
  readonly #dialer: EndpointDialer;
  readonly #onEstablished: () => void;
  #dialing: Dialing | undefined;
  #socket: BoundedSocket | undefined;
  #via: RouterId | undefined;
  #connected = false;
  #closed = false;
  #wasReset = false;
  /** Body of the last request, if that is written piece by piece. */
  #pieces: BodyPieces | undefined;
  /** Bytes of the request that the system had not taken when the endpoint ended the connection. */
  #unwrittenBytes = 0;
  #controller: Dispatcher.DispatchController | undefined;
  #idleSince: Instant | undefined;
  #keepAliveTimeout: Milliseconds = DEFAULT_KEEP_ALIVE_TIMEOUT;
  #exchangeCount = 0;

  /** Fails the request if no connection is made within `connectTimeout`. */
  constructor(
    address: Address,
    connectTimeout: Milliseconds,
    dialer: EndpointDialer,
    onClosed: (connection: EndpointConnection) => void,
    onEstablished: () => void = () => undefined,
  ) {
    this.#connectTimeout = connectTimeout;
    this.#dialer = dialer;
    this.#onEstablished = onEstablished;
    this.#client = new Client(`http://${formatAddress(address)}`, {
      pipelining: 1,
      maxHeaderSize: MAX_HEAD_BYTES,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: MAX_KEEP_ALIVE_MS,
      keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      connect: (_options, callback) => {
        this.#open(address, callback);
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

  /** The router through which the connection leads; undefined if it is direct or not established. */
  get via(): RouterId | undefined {
    return this.#via;
  }

  /** Number of requests that were started on this connection. */
  get exchangeCount(): number {
    return this.#exchangeCount;
  }

  /** Time since the last response ended; undefined before the end of the first one. */
  idleTime(now: Instant): Milliseconds | undefined {
    return this.#idleSince === undefined
      ? undefined
      : elapsed(this.#idleSince, now);
  }

  /** Whether an idle connection is probably still open at the endpoint's end. */
  isReusable(now: Instant, maxIdleTime: Milliseconds): boolean {
    if (this.#closed || !this.#connected || this.#idleSince === undefined) {
      return false;
    }
    // undici closes the socket right after a response that announces it, and reports that later.
    if (this.#socket?.destroyed) {
      return false;
    }
    return (
      elapsed(this.#idleSince, now) <=
      Math.min(this.#keepAliveTimeout, maxIdleTime)
    );
  }

  /**
   * Records that a response was complete and how long the endpoint keeps the
   * idle connection open.
   */
  markIdle(now: Instant, keepAliveTimeout: Milliseconds | undefined): void {
    this.#idleSince = now;
    if (keepAliveTimeout !== undefined) {
      this.#keepAliveTimeout = milliseconds(
        keepAliveTimeout * KEEP_ALIVE_SHARE,
      );
    }
  }

  /** Sends a request; no other one may be running on this connection. */
  send(request: EndpointRequest, listener: ExchangeListener): void {
    this.#exchangeCount += 1;
    let isSent = false;
    const { body } = request;
    const headers = [...request.headers];
    if (body?.hasPieces) {
      headers.push('content-length', String(body.length));
    }
    this.#pieces = body?.hasPieces
      ? new BodyPieces(body, () => listener.onBodyWritten?.())
      : undefined;
    this.#client.dispatch(
      {
        method: request.method,
        path: request.target,
        headers,
        body: this.#pieces?.asRequestBody() ?? body?.bytes ?? null,
      },
      {
        onRequestStart: controller => {
          this.#controller = controller;
          isSent = true;
          this.#socket?.expectResponse();
          listener.onSent();
        },
        onResponseStart: (controller, status, _headers, reason = '') => {
          if (!isHttpStatus(status)) {
            controller.abort(new InvalidStatusError());
            return;
          }
          const headers = decodeHeaders(controller.rawHeaders);
          if ([reason, ...headers].some(text => STATUS_LINE.test(text))) {
            controller.abort(new JoinedHeadsError());
            return;
          }
          if (status >= MIN_FINAL_STATUS) {
            this.#socket?.resetCount();
          }
          listener.onHead(status, headers);
        },
        onResponseData: (controller, chunk) => {
          this.#socket?.resetCount();
          const hasEnded = this.#socket?.readableEnded ?? false;
          if (!listener.onData(chunk) && !hasEnded) {
            controller.pause();
          }
        },
        onResponseEnd: () => {
          listener.onEnd(this.#resultAtEnd());
        },
        onResponseError: (_controller, error) => {
          const cause = errorCode(error);
          listener.onEnd({ kind: isSent ? 'broken' : 'not-connected', cause });
        },
      },
    );
  }

  /** Resumes the response after `onData` returned false. */
  resume(): void {
    this.#controller?.resume();
  }

  /** Closes the connection and aborts the request that runs on it. */
  destroy(): void {
    this.#closed = true;
    // Without an error undici would take this for the end of an unframed response,
    // which it cannot finish while it is paused.
    this.#dialing?.cancel();
    this.#socket?.destroy(new ConnectionClosedError());
    this.#client.destroy().catch(() => undefined);
  }

  #resultAtEnd(): ExchangeResult {
    if (this.#wasReset) {
      return { kind: 'broken', cause: 'reset' };
    }
    const unwrittenBytes = this.#unwrittenBytes;
    return unwrittenBytes > 0
      ? { kind: 'ended-early', unwrittenBytes }
      : { kind: 'complete' };
  }

  #open(
    address: Address,
    callback: (...result: [Error, null] | [null, BoundedSocket]) => void,
  ): void {
    if (this.#dialing || this.#closed) {
      // undici reconnects by itself; a second connection would hide that the first one broke.
      callback(new ConnectionClosedError(), null);
      return;
    }
    this.#dialing = this.#dialer.dial(
      { address, timeout: this.#connectTimeout },
      result => {
        if (!result.ok) {
          this.#wasReset = true;
          callback(result.failure, null);
          return;
        }
        const { socket, via } = result.value;
        if (this.#closed) {
          socket.destroy();
          callback(new ConnectionClosedError(), null);
          return;
        }
        this.#via = via;
        this.#use(socket);
        this.#onEstablished();
        callback(null, socket);
      },
    );
  }

  #use(socket: BoundedSocket): void {
    this.#socket = socket;
    this.#connected = true;
    // Registered before undici's own listeners, which may treat a reset as the
    // regular end of a response.
    socket.on('end', () => {
      this.#wasReset ||= socket.wasReset();
      this.#unwrittenBytes =
        socket.writableLength + (this.#pieces?.remainingBytes ?? 0);
      // Nothing is left to hold back, and undici cannot end a paused response.
      this.#controller?.resume();
    });
    socket.on('error', () => {
      this.#wasReset = true;
    });
  }
}

/**
 * Writes a body piece by piece. undici keeps the body of a request until its response has ended;
 * this one keeps nothing of a body that was released.
 */
class BodyPieces implements IterableIterator<Buffer> {
  readonly #body: RequestBody;
  readonly #onWritten: () => void;
  #offset = 0;

  constructor(body: RequestBody, onWritten: () => void) {
    this.#body = body;
    this.#onWritten = onWritten;
  }

  /** Bytes that were not handed to the socket. */
  get remainingBytes(): number {
    return Math.max(0, this.#body.length - this.#offset);
  }

  [Symbol.iterator](): this {
    return this;
  }

  /** The types of undici lack the iterables that its documentation allows. */
  asRequestBody(): Readable {
    return this as unknown as Readable;
  }

  next(): IteratorResult<Buffer> {
    const begin = this.#offset;
    // undici asks for the next piece when the socket has taken the one before.
    if (begin >= this.#body.length) {
      this.#onWritten();
      return { done: true, value: undefined };
    }
    this.#offset += BODY_PIECE_BYTES;
    return {
      done: false,
      value: this.#body.bytes.subarray(begin, this.#offset),
    };
  }
}

class JoinedHeadsError extends Error {
  readonly code = JOINED_HEADS;
}

class InvalidStatusError extends Error {
  readonly code = INVALID_STATUS;
}

class ConnectionClosedError extends Error {
  readonly code = 'CONNECTION_CLOSED';
}

function errorCode(error: unknown): string {
  if (!(error instanceof Error)) {
    return 'unknown';
  }
  const { code } = error as NodeJS.ErrnoException;
  return typeof code === 'string' ? code : error.message;
}

function decodeHeaders(raw: unknown): string[] {
  const list = Array.isArray(raw) ? (raw as (Buffer | string)[]) : [];
  return list.map(item =>
    typeof item === 'string' ? item : item.toString('latin1'),
  );
}
