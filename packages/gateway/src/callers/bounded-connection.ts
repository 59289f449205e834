/**
 * One connection of a client. It passes on what the client sends request by request, and stops
 * reading while as many requests as allowed wait for their responses to be read.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { ReachedLimit } from './connection-bounds';

/** Each head of a request and each chunked body ends like this. */
const END_OF_HEAD = '\r\n\r\n';
/** The shortest request, `GET / HTTP/1.1` and an empty line, ends with the mark at this offset. */
const MIN_HEAD_BYTES = 14;
/** Bytes of a chunked body that are parsed in one step, as they may be hundreds of fragments. */
const MAX_CHUNKED_STEP_BYTES = 1024;
/** A read of up to this size that contains one request is parsed in one step, as most reads are. */
const MAX_WHOLE_READ_BYTES = 8192;
/** Time for which what a client sends is parsed at once; the rest takes turns with other connections. */
const MAX_PARSE_MS = 0.5;

export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

export interface BoundedConnectionOptions {
  readonly socket: Socket;
  readonly serve: RequestHandler;
  /** Requests of the connection that are served at once. */
  readonly maxRequests: number;
  readonly maxUnreadBytes: number;
  /** Takes one of the places of requests that are served beside an earlier one; false if none is free. */
  readonly takePlace: () => boolean;
  readonly hasPlace: () => boolean;
  readonly freePlace: () => void;
  /** Asks for a call of `proceed` when it is this connection's turn. */
  readonly requestTurn: () => void;
  readonly onLimit: (limit: ReachedLimit) => void;
}

/** A request whose response has not been sent to its end. */
interface OpenRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  isStarted: boolean;
  takesPlace: boolean;
}

export class BoundedConnection {
  readonly #options: BoundedConnectionOptions;
  readonly #parse: (bytes: Buffer) => void;
  readonly #open = new Set<OpenRequest>();
  #latest: OpenRequest | undefined;
  #startedCount = 0;
  /** Bytes that were read and wait until another request may be served. */
  #rest: Buffer | undefined;
  #isHeld = false;
  #isFeeding = false;
  #hasServed = false;
  #isClosing = false;
  #reported: ReachedLimit | undefined;

  /** Takes over the bytes of a socket to which an HTTP server has attached its parser. */
  constructor(options: BoundedConnectionOptions) {
    this.#options = options;
    const { socket } = options;
    // Each request that is served at once adds listeners.
    socket.setMaxListeners(socket.getMaxListeners() + options.maxRequests);
    const parsers = socket.listeners('data') as ((bytes: Buffer) => void)[];
    socket.removeAllListeners('data');
    this.#parse = bytes => {
      for (const parser of parsers) {
        parser(bytes);
      }
    };
    socket.on('data', bytes => {
      this.#rest = this.#rest ? Buffer.concat([this.#rest, bytes]) : bytes;
      this.#feed(performance.now() + MAX_PARSE_MS);
    });
    socket.on('resume', () => {
      // Node.js also resumes the socket to read the body of an earlier request.
      if (this.#isHeld) {
        socket.pause();
      } else {
        this.#feed(0);
      }
    });
    socket.once('close', () => {
      this.#rest = undefined;
      for (const open of this.#open) {
        this.#end(open);
      }
    });
  }

  get address(): string | undefined {
    return this.#options.socket.remoteAddress;
  }

  /** Whether a request has been served to its end. */
  get hasServed(): boolean {
    return this.#hasServed;
  }

  get isIdle(): boolean {
    return this.#open.size === 0;
  }

  /** Whether a complete request has been passed on, so that a close would cut its response off. */
  get isServing(): boolean {
    return [...this.#open].some(
      ({ isStarted, request, response }) =>
        response.headersSent || (isStarted && request.complete),
    );
  }

  /** Serves a parsed request, or keeps it until earlier ones have their responses. */
  accept(request: IncomingMessage, response: ServerResponse): void {
    const open = {
      request,
      response,
      isStarted: false,
      takesPlace: false,
    };
    this.#open.add(open);
    this.#latest = open;
    response.once('close', () => {
      this.#end(open);
    });
    this.#startNext();
  }

  /** Serves no further request, as the response to the current one closes the connection. */
  serveNoMore(): void {
    this.#isClosing = true;
  }

  destroy(): void {
    this.#options.socket.destroy();
  }

  #end(open: OpenRequest): void {
    if (!this.#open.delete(open)) {
      return;
    }
    this.#hasServed = true;
    if (open.isStarted) {
      this.#startedCount -= 1;
    }
    if (open.takesPlace) {
      this.#options.freePlace();
    }
    if (this.#isHeld || this.#open.size > this.#startedCount) {
      this.#options.requestTurn();
    }
  }

  /** Serves the next request that waits, or parses the next part of what was read. */
  proceed(): void {
    const { socket } = this.#options;
    if (socket.destroyed) {
      return;
    }
    this.#startNext();
    if (this.#isHeld && !this.#mustWait()) {
      this.#isHeld = false;
      // The bytes are passed on at the event, which does not come while Node.js itself pauses the socket.
      socket.resume();
    }
  }

  #startNext(): void {
    for (const open of this.#open) {
      if (this.#isClosing || !this.#options.socket.writable) {
        return;
      }
      if (!open.isStarted) {
        if (this.#startedCount > 0) {
          if (!this.#canServeAnother || !this.#options.takePlace()) {
            return;
          }
          open.takesPlace = true;
        }
        open.isStarted = true;
        this.#startedCount += 1;
        this.#options.serve(open.request, open.response);
      }
    }
  }

  get #canServeAnother(): boolean {
    if (this.#startedCount === 0) {
      return true;
    }
    const { maxRequests, maxUnreadBytes, hasPlace } = this.#options;
    return (
      this.#startedCount < maxRequests &&
      hasPlace() &&
      this.#unreadBytes <= maxUnreadBytes
    );
  }

  get #unreadBytes(): number {
    let bytes = this.#options.socket.writableLength;
    for (const { response } of this.#open) {
      bytes += response.socket ? 0 : response.writableLength;
    }
    return bytes;
  }

  /** Whether what follows must wait: the body of a request that is being served must not. */
  #mustWait(): boolean {
    const latest = this.#latest;
    if (this.#isClosing) {
      return true;
    }
    if (!latest || !this.#open.has(latest)) {
      return false;
    }
    if (!latest.isStarted) {
      return true;
    }
    return latest.request.complete && !this.#canServeAnother;
  }

  /** Parses what was read, in one step and further ones until the time `end`. */
  #feed(end: number): void {
    const { socket } = this.#options;
    if (this.#isFeeding) {
      return;
    }
    this.#isFeeding = true;
    while (this.#rest && !socket.isPaused() && !socket.destroyed) {
      if (this.#mustWait()) {
        this.#hold();
        break;
      }
      const bytes = this.#rest;
      const length = this.#stepLength(bytes);
      this.#rest = length < bytes.length ? bytes.subarray(length) : undefined;
      this.#parse(length < bytes.length ? bytes.subarray(0, length) : bytes);
      const mayContinue = this.#rest !== undefined && !socket.isPaused();
      if (mayContinue && !this.#mustWait() && performance.now() >= end) {
        this.#isHeld = true;
        socket.pause();
        this.#options.requestTurn();
      }
    }
    this.#isFeeding = false;
  }

  /** Bytes up to the end of the next head or chunked body, and of a chunked body a bounded part. */
  #stepLength(bytes: Buffer): number {
    const request = this.#latest?.request;
    const isChunked =
      request?.complete === false &&
      request.headers['transfer-encoding'] !== undefined;
    const part = isChunked ? bytes.subarray(0, MAX_CHUNKED_STEP_BYTES) : bytes;
    const mark = part.indexOf(END_OF_HEAD, MIN_HEAD_BYTES);
    if (mark < 0) {
      return part.length;
    }
    const length = mark + END_OF_HEAD.length;
    const isWhole =
      this.#open.size === 0 &&
      bytes.length <= MAX_WHOLE_READ_BYTES &&
      bytes.indexOf(END_OF_HEAD, length) < 0;
    return isWhole ? bytes.length : length;
  }

  #hold(): void {
    const { socket, maxUnreadBytes, onLimit } = this.#options;
    this.#isHeld = true;
    socket.pause();
    const limit =
      this.#unreadBytes > maxUnreadBytes
        ? 'unread-responses'
        : 'pipelined-requests';
    // A connection may reach the limit at each of its requests.
    if (limit !== this.#reported && !this.#isClosing) {
      this.#reported = limit;
      onLimit(limit);
    }
  }
}
