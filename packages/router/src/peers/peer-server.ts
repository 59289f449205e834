/** Accepts connections of peers and sends them gossip. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';

import { TRPCError } from '@trpc/server';
import { applyWSSHandler } from '@trpc/server/adapters/ws';
import { WebSocketServer } from 'ws';
import type { WebSocket } from 'ws';

import type { RouterIdentity } from '@sesamegrade/core/membership/router-table';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { Address } from '@sesamegrade/core/types/endpoint';
import type { RouterId } from '@sesamegrade/core/types/ids';
import { seconds } from '@sesamegrade/core/types/units';
import { listen } from '../http/listen';
import type { AcceptFailureListener } from '../http/listen';
import { PeerFeed } from './peer-feed';
import { binaryEncoder, identityMessage } from './peer-message';
import type { FeedMessage } from './peer-message';
import type { PeerProof } from './peer-proof';
import { peerRoutes } from './peer-routes';
import type { PeerContext } from './peer-routes';
import type { SocketMeter } from './socket-meter';

/** Maximum size of a frame from a client, which holds all requests that it sends in one tick. */
const MAX_REQUEST_BYTES = 262_144;
/** Unread bytes above which a slow peer is disconnected; a complete state is up to 100 kB. */
const MAX_UNSENT_BYTES = 262_144;
/** Time within which a connection must be authenticated. */
const AUTHENTICATION_TIMEOUT = seconds(5);

/** Connections of peers and tunnels: above the 370 routers of the largest fleet and 400 tunnels. */
const MAX_CONNECTIONS = 1024;
/** A peer gives its handshake up after 3 s. */
const REQUEST_LIMITS = {
  headersTimeout: 5000,
  requestTimeout: 5000,
  connectionsCheckingInterval: 1000,
};

/** Receives the start and the end of peers' subscriptions to this router's gossip. */
export interface PeerServerListener {
  onSubscribed(peer: RouterIdentity): void;
  onUnsubscribed(peer: RouterId): void;
}

export interface PeerServerOptions {
  readonly self: RouterIdentity;
  readonly proof: PeerProof;
  readonly meter: SocketMeter;
  readonly timers: TimerService;
  readonly snapshot: () => unknown;
  /** Tells where a stream began; absent if this router does not follow that. */
  readonly origin?: (query: unknown) => Promise<unknown>;
  /** Records the origins of streams for a peer; absent if this router records none. */
  readonly record?: (message: unknown) => Promise<unknown>;
  /** Keeps the origins of streams that a peer relays; absent if this router keeps none. */
  readonly keepOrigins?: (message: unknown) => boolean;
  /** Answers a peer's query for a permit; absent if this router issues none. */
  readonly permit?: (peer: RouterId, query: unknown) => Promise<unknown>;
  /** Takes a permit back that this router issued. */
  readonly releasePermit?: (permit: unknown) => void;
  /**
   * Whether a peer that missed a message is disconnected, so that it receives the
   * full state when it connects again.
   */
  readonly disconnectsOnLoss?: boolean;
  /** Told of connections that could not be accepted. */
  readonly onAcceptFailure?: AcceptFailureListener;
  /** Takes over the connection of a CONNECT request; absent if this router opens no tunnels. */
  readonly onConnect?: (request: IncomingMessage, socket: Socket) => void;
  readonly listener: PeerServerListener;
}

interface Subscriber {
  readonly feed: PeerFeed;
  readonly context: PeerContext;
}

export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #http: Server;
  readonly #sockets: WebSocketServer;
  readonly #subscribers = new Map<RouterId, Subscriber>();
  readonly #authenticated = new WeakSet<WebSocket>();
  #rejected = 0;

  constructor(options: PeerServerOptions) {
    this.#options = options;
    this.#http = createServer(REQUEST_LIMITS, (_request, response) => {
      // Peers only upgrade and connect; what else is pipelined is not served.
      response.writeHead(426, { connection: 'close' }).end();
    });
    this.#http.maxConnections = MAX_CONNECTIONS;
    this.#http.on('connection', socket => {
      options.meter.track(socket);
    });
    const { onConnect } = options;
    if (onConnect) {
      this.#http.on('connect', (request: IncomingMessage) => {
        options.meter.untrack(request.socket);
        onConnect(request, request.socket);
      });
    }
    this.#sockets = new WebSocketServer({
      server: this.#http,
      maxPayload: MAX_REQUEST_BYTES,
      perMessageDeflate: false,
      // tRPC builds a URL from the request in a listener, where an exception ends the process.
      verifyClient: ({ req }: { readonly req: IncomingMessage }) =>
        URL.canParse(req.url ?? '', `http://${req.headers.host ?? ''}`),
    });
    // It repeats the errors of the HTTP server.
    this.#sockets.on('error', () => undefined);
    this.#sockets.on('connection', socket => {
      this.#limitAuthenticationTime(socket);
    });
    this.#serve();
  }

  /** Number of connections that were refused because their proof was invalid. */
  get rejected(): number {
    return this.#rejected;
  }

  /** Starts to listen on the given address; port 0 selects a free port. */
  listen(address: Address): Promise<Address> {
    const { onAcceptFailure = () => undefined } = this.#options;
    return listen(this.#http, address, onAcceptFailure);
  }

  /** Queues a message for a peer; returns false when the peer is not subscribed or reads too slowly. */
  send(peer: RouterId, message: FeedMessage): boolean {
    const subscriber = this.#subscribers.get(peer);
    if (!subscriber) {
      return false;
    }
    if (subscriber.context.unsent() > MAX_UNSENT_BYTES) {
      subscriber.context.terminate();
      return false;
    }
    subscriber.feed.push(message);
    if (this.#options.disconnectsOnLoss && subscriber.feed.dropped > 0) {
      subscriber.context.terminate();
      return false;
    }
    return true;
  }

  /** Ends every connection and stops listening. */
  async close(): Promise<void> {
    for (const { feed } of this.#subscribers.values()) {
      feed.close();
    }
    for (const socket of this.#sockets.clients) {
      socket.terminate();
    }
    this.#sockets.close();
    this.#http.closeAllConnections();
    await new Promise<void>(resolve => {
      this.#http.close(() => {
        resolve();
      });
    });
  }

  #serve(): void {
    const router = peerRoutes({
      openFeed: context => this.#openFeed(context),
      closeFeed: (context, feed) => {
        this.#closeFeed(context, feed);
      },
      snapshot: this.#options.snapshot,
      origin: query =>
        this.#options.origin?.(query) ?? Promise.resolve(undefined),
      record: message =>
        this.#options.record?.(message) ?? Promise.resolve(undefined),
      keepOrigins: message => this.#options.keepOrigins?.(message) ?? false,
      permit: ({ peer }, query) =>
        this.#options.permit?.(peer.identity.id, query) ??
        Promise.resolve(undefined),
      releasePermit: permit => {
        this.#options.releasePermit?.(permit);
      },
    });
    applyWSSHandler({
      wss: this.#sockets,
      router,
      experimental_encoder: binaryEncoder,
      createContext: ({ res, info }) =>
        this.#authenticate(res, info.connectionParams),
      onError: () => {
        // Lost connections and refused proofs are counted elsewhere.
      },
    });
  }

  #limitAuthenticationTime(socket: WebSocket): void {
    socket.on('error', () => {
      socket.terminate();
    });
    const cancel = this.#options.timers.after(AUTHENTICATION_TIMEOUT, () => {
      if (!this.#authenticated.has(socket)) {
        socket.terminate();
      }
    });
    socket.once('close', cancel);
  }

  #authenticate(socket: WebSocket, parameters: unknown): PeerContext {
    const peer = this.#options.proof.authenticateClient(parameters);
    if (!peer) {
      this.#rejected += 1;
      throw new TRPCError({ code: 'UNAUTHORIZED' });
    }
    this.#authenticated.add(socket);
    return {
      peer,
      terminate: () => {
        socket.terminate();
      },
      unsent: () => socket.bufferedAmount,
    };
  }

  #openFeed(context: PeerContext): PeerFeed {
    const { identity, nonce } = context.peer;
    const feed = new PeerFeed();
    feed.push({
      identity: identityMessage(this.#options.self),
      proof: this.#options.proof.serverProof(nonce),
    });
    this.#subscribers.get(identity.id)?.feed.close();
    this.#subscribers.set(identity.id, { feed, context });
    this.#options.listener.onSubscribed(identity);
    return feed;
  }

  #closeFeed(context: PeerContext, feed: PeerFeed): void {
    const { id } = context.peer.identity;
    feed.close();
    if (this.#subscribers.get(id)?.feed === feed) {
      this.#subscribers.delete(id);
      this.#options.listener.onUnsubscribed(id);
    }
  }
}
