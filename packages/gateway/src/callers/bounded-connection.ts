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
  #isScheduled = false;
  #hasServed = false;
  #isClosing = false;

  /** Takes over the bytes of a socket to which an HTTP server has attached its parser. */
  constructor(options: BoundedConnectionOptions) {
    this.#options = options;
    const { socket } = options;
    const parsers = socket.listeners('data') as ((bytes: Buffer) => void)[];
    socket.removeAllListeners('data');
    this.#parse = bytes => {
      for (const parser of parsers) {
        parser(bytes);
      }
    };
    socket.on('data', bytes => {
      this.#rest = this.#rest ? Buffer.concat([this.#rest, bytes]) : bytes;
      this.#feed();
    });
    socket.on('resume', () => {
      // Node.js also resumes the socket to read the body of an earlier request.
      if (this.#isHeld) {
        socket.pause();
      } else {
        this.#feed();
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
    if ((this.#open.size > 0 || this.#isHeld) && !this.#isScheduled) {
      this.#isScheduled = true;
      // Other connections get their turn in between.
      setImmediate(() => {
        this.#isScheduled = false;
        this.#proceed();
      });
    }
  }

  #proceed(): void {
    const { socket } = this.#options;
    if (socket.destroyed) {
      return;
    }
    this.#startNext();
    if (this.#isHeld && !this.#isBlocked) {
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
  get #isBlocked(): boolean {
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

  #feed(): void {
    const { socket } = this.#options;
    if (this.#isFeeding) {
      return;
    }
    this.#isFeeding = true;
    while (this.#rest && !socket.isPaused() && !socket.destroyed) {
      if (this.#isBlocked) {
        this.#hold();
        break;
      }
      const bytes = this.#rest;
      const mark = bytes.indexOf(END_OF_HEAD, MIN_HEAD_BYTES);
      const end = mark < 0 ? bytes.length : mark + END_OF_HEAD.length;
      this.#rest = end < bytes.length ? bytes.subarray(end) : undefined;
      this.#parse(end < bytes.length ? bytes.subarray(0, end) : bytes);
    }
    this.#isFeeding = false;
  }

  #hold(): void {
    const { socket, maxUnreadBytes, onLimit } = this.#options;
    this.#isHeld = true;
    socket.pause();
    onLimit(
      this.#unreadBytes > maxUnreadBytes
        ? 'unread-responses'
        : 'pipelined-requests',
    );
  }
}
