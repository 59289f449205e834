/**
 * Bounds what the connections of an HTTP server cost: their number, in total and per address, and
 * the requests of each that are parsed and served. Serves callers, readiness checks and metrics.
 */
import { STATUS_CODES } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

import { BoundedConnection } from './bounded-connection';
import type { RequestHandler } from './bounded-connection';
import type { ConnectionBounds, LimitListener } from './connection-bounds';

const STATUS_BAD_REQUEST = 400;
const STATUS_EXPECTATION_FAILED = 417;
/** Responses of Node.js to requests that cannot be parsed, by the code of the error. */
const STATUS_OF_ERROR: ReadonlyMap<string | undefined, number> = new Map([
  ['ERR_HTTP_REQUEST_TIMEOUT', 408],
  ['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413],
  ['HPE_HEADER_OVERFLOW', 431],
]);

export interface BoundedConnectionsOptions {
  /** Created without handlers, and with `requireHostHeader: false`. */
  readonly server: Server;
  readonly bounds: ConnectionBounds;
  readonly serve: RequestHandler;
  readonly onLimit: LimitListener;
}

export class BoundedConnections {
  readonly #options: BoundedConnectionsOptions;
  /** Open connections, oldest first. */
  readonly #connections = new Map<Duplex, BoundedConnection>();
  readonly #countByAddress = new Map<string | undefined, number>();
  /** Connections that have more to do, in the order of their turns. */
  readonly #waiting = new Set<BoundedConnection>();
  #hasTurn = false;
  /** Requests that are served beside an earlier one of their connection. */
  #pipelined = 0;

  constructor(options: BoundedConnectionsOptions) {
    this.#options = options;
    const { server } = options;
    server.on('connection', socket => {
      this.#open(socket);
    });
    server.on('request', (request, response) => {
      this.#accept(request, response);
    });
    server.on('checkContinue', (request, response) => {
      response.writeContinue();
      this.#accept(request, response);
    });
    server.on('checkExpectation', (request, response) => {
      this.#accept(request, response);
    });
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.#onClientError(error, socket);
    });
  }

  /** Number of open connections. */
  get size(): number {
    return this.#connections.size;
  }

  #open(socket: Socket): void {
    const { bounds, onLimit } = this.#options;
    const address = socket.remoteAddress;
    const connection: BoundedConnection = new BoundedConnection({
      socket,
      serve: (request, response) => {
        this.#serve(request, response);
      },
      maxRequests: bounds.pipelinedRequests,
      maxUnreadBytes: bounds.unreadBytes,
      hasPlace: () => this.#pipelined < bounds.pipelinedTotal,
      takePlace: () => {
        const hasPlace = this.#pipelined < bounds.pipelinedTotal;
        this.#pipelined += hasPlace ? 1 : 0;
        return hasPlace;
      },
      freePlace: () => {
        this.#pipelined -= 1;
      },
      requestTurn: () => {
        this.#waiting.add(connection);
        this.#giveTurn();
      },
      onLimit: limit => {
        onLimit(limit, address);
      },
    });
    const count = (this.#countByAddress.get(address) ?? 0) + 1;
    if (count > bounds.connectionsPerAddress) {
      onLimit('connections-per-address', address);
      this.#makeRoom(connection, other => other.address === address);
    } else if (this.#connections.size >= bounds.connections) {
      onLimit('connections', address);
      this.#makeRoom(connection, () => true);
    }
    if (socket.destroyed) {
      return;
    }
    this.#connections.set(socket, connection);
    this.#countByAddress.set(
      address,
      (this.#countByAddress.get(address) ?? 0) + 1,
    );
    socket.once('close', () => {
      this.#remove(socket, address);
    });
  }

  /**
   * Lets one waiting connection go on in each turn of the event loop: Node.js accepts about one
   * connection a turn, so that turns must stay short for others while many connections wait.
   */
  #giveTurn(): void {
    if (this.#hasTurn) {
      return;
    }
    this.#hasTurn = true;
    setImmediate(() => {
      this.#hasTurn = false;
      const [next] = this.#waiting;
      if (next) {
        this.#waiting.delete(next);
        next.proceed();
      }
      if (this.#waiting.size > 0) {
        this.#giveTurn();
      }
    });
  }

  #remove(socket: Duplex, address: string | undefined): void {
    const connection = this.#connections.get(socket);
    if (!connection) {
      return;
    }
    this.#connections.delete(socket);
    this.#waiting.delete(connection);
    const left = (this.#countByAddress.get(address) ?? 1) - 1;
    if (left > 0) {
      this.#countByAddress.set(address, left);
    } else {
      this.#countByAddress.delete(address);
    }
  }

  /**
   * Closes a connection on which no request has been passed on: one that has completed none yet,
   * then an idle one, then one whose request is incomplete; the new one if there is none.
   */
  #makeRoom(
    newest: BoundedConnection,
    isCandidate: (connection: BoundedConnection) => boolean,
  ): void {
    let best: { socket: Duplex; connection: BoundedConnection } | undefined;
    let bestRank = Infinity;
    for (const [socket, connection] of this.#connections) {
      const rank = isCandidate(connection) ? closingRank(connection) : Infinity;
      if (rank < bestRank) {
        best = { socket, connection };
        bestRank = rank;
      }
      if (rank === 0) {
        break;
      }
    }
    if (best) {
      best.connection.destroy();
      this.#remove(best.socket, best.connection.address);
    } else {
      newest.destroy();
    }
  }

  #accept(request: IncomingMessage, response: ServerResponse): void {
    this.#connections.get(request.socket)?.accept(request, response);
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    const { expect, host } = request.headers;
    if (host === undefined && request.httpVersion === '1.1') {
      this.#refuse(request, response, STATUS_BAD_REQUEST);
    } else if (
      expect !== undefined &&
      expect.toLowerCase() !== '100-continue'
    ) {
      this.#refuse(request, response, STATUS_EXPECTATION_FAILED);
    } else {
      this.#options.serve(request, response);
    }
  }

  /** Refuses a request that Node.js refuses by itself otherwise, without a limit on their number. */
  #refuse(
    request: IncomingMessage,
    response: ServerResponse,
    status: number,
  ): void {
    this.#connections.get(request.socket)?.serveNoMore();
    response.writeHead(status, ['Connection', 'close']);
    response.end();
  }

  /** Closes the connection, with a response unless that would pass for one to a request that runs. */
  #onClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
    if (
      socket.writable &&
      this.#connections.get(socket)?.isServing === false &&
      error.code !== 'ECONNRESET'
    ) {
      const status = STATUS_OF_ERROR.get(error.code) ?? STATUS_BAD_REQUEST;
      socket.write(
        `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nConnection: close\r\n\r\n`,
      );
    }
    socket.destroy(error);
  }
}

/** Order in which connections are closed to make room; infinite for those that must stay. */
function closingRank(connection: BoundedConnection): number {
  if (connection.isServing) {
    return Infinity;
  }
  if (!connection.hasServed) {
    return 0;
  }
  return connection.isIdle ? 1 : 2;
}
