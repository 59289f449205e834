/** A persistent connection to one peer, over which this router receives the peer's gossip. */
import { createTRPCClient, createWSClient, wsLink } from '@trpc/client';
import { WebSocket as WebSocketClient } from 'ws';

import type { RouterIdentity } from '@sesamegrade/core/membership/router-table';
import type { Random } from '@sesamegrade/core/random/random';
import { formatAddress } from '@sesamegrade/core/types/address';
import type { Address } from '@sesamegrade/core/types/endpoint';
import type { RouterId } from '@sesamegrade/core/types/ids';
import { clientEncoder, feedMessageSchema } from './peer-message';
import type { CheckedFeedMessage, GossipFrame } from './peer-message';
import { addressName, newNonce } from './peer-proof';
import type { PeerProof } from './peer-proof';
import type { PeerRoutes } from './peer-routes';
import type { SocketMeter } from './socket-meter';

const RETRY_BASE_MS = 200;
const MAX_RETRY_DELAY_MS = 10_000;
const HANDSHAKE_TIMEOUT_MS = 3000;
/** The largest message is a complete configuration. */
const MAX_MESSAGE_BYTES = 4_194_304;

export interface PeerLinkListener {
  /** The peer has authenticated itself. */
  onConnected(peer: RouterIdentity): void;
  /** The connection was lost, could not be established, or leads to another router than expected. */
  onDisconnected(peer: RouterId): void;
  onGossip(peer: RouterId, frame: GossipFrame): void;
  /** A message did not match the schema, or arrived before the peer had authenticated itself. */
  onMalformed(peer: RouterId): void;
}

export interface PeerLinkOptions {
  /** Id of the peer, or `addressName` of its address while the id is unknown. */
  readonly peer: RouterId;
  readonly address: Address;
  readonly proof: PeerProof;
  readonly meter: SocketMeter;
  readonly random: Random;
  readonly listener: PeerLinkListener;
}

type PeerClient = ReturnType<typeof createTRPCClient<PeerRoutes>>;

export class PeerLink {
  readonly address: Address;
  readonly #options: PeerLinkOptions;
  readonly #connection: ReturnType<typeof createWSClient>;
  readonly #client: PeerClient;
  #socket: WebSocketClient | undefined;
  #nonce = newNonce();
  #verified = false;
  #closed = false;
  #receivedCount = 0;

  constructor(options: PeerLinkOptions) {
    this.#options = options;
    this.address = options.address;
    this.#connection = createWSClient({
      url: `ws://${formatAddress(options.address)}/`,
      WebSocket: this.#socketClass(),
      connectionParams: () => this.#connectionParameters(),
      retryDelayMs: attempt => this.#retryDelay(attempt),
      onClose: () => {
        this.#onConnectionLost();
      },
      onError: () => {
        this.#onConnectionLost();
      },
      experimental_encoder: clientEncoder(() => {
        this.#onMalformedFrame();
      }),
    });
    const link = wsLink<PeerRoutes>({ client: this.#connection });
    this.#client = createTRPCClient<PeerRoutes>({ links: [link] });
    this.#subscribe();
  }

  get verified(): boolean {
    return this.#verified;
  }

  /** Number of messages and probe responses received over this link. */
  get receivedCount(): number {
    return this.#receivedCount;
  }

  /** Sends a WebSocket ping if the connection is open. */
  probe(): void {
    if (this.#socket?.readyState === WebSocketClient.OPEN) {
      this.#socket.ping();
    }
  }

  /** Terminates the connection; it is established again after a delay. */
  reset(): void {
    this.#socket?.terminate();
  }

  /** Fetches the complete configuration; rejects when the connection is lost. */
  fetchConfiguration(): Promise<unknown> {
    return this.#request(client => client.configuration.query());
  }

  /** Asks where a stream began; rejects when the connection is lost. */
  requestOrigin(query: unknown): Promise<unknown> {
    return this.#request(client => client.origin.query(query));
  }

  /** Asks the peer to record the origins of streams; rejects when the connection is lost. */
  requestRecording(message: unknown): Promise<unknown> {
    return this.#request(client => client.record.mutate(message));
  }

  /** Asks the peer to keep the origins of streams of this router; rejects when the connection is lost. */
  shareOrigins(message: unknown): Promise<unknown> {
    return this.#request(client => client.keepOrigins.mutate(message));
  }

  /** Asks the peer for a permit; rejects when the connection is lost. */
  requestPermit(query: unknown): Promise<unknown> {
    return this.#request(client => client.permit.mutate(query));
  }

  /** Gives a permit back to the peer; rejects when the connection is lost. */
  releasePermit(permit: unknown): Promise<unknown> {
    return this.#request(client => client.releasePermit.mutate(permit));
  }

  async close(): Promise<void> {
    this.#closed = true;
    this.#socket?.terminate();
    await this.#connection.close();
  }

  /** Rejects once the link is closed, as the client would open it again. */
  #request(send: (client: PeerClient) => Promise<unknown>): Promise<unknown> {
    return this.#closed
      ? Promise.reject(this.#closedError())
      : send(this.#client);
  }

  /** Throws once the link is closed: the client connects for a request that waits since before. */
  #checkOpen(): void {
    if (!this.#closed) {
      return;
    }
    // Such a request makes the client forget that it was closed.
    this.#connection.close().catch(() => undefined);
    throw this.#closedError();
  }

  #closedError(): Error {
    return new Error(`the link to ${this.#options.peer} is closed`);
  }

  #subscribe(): void {
    this.#client.feed.subscribe(undefined, {
      onData: data => {
        this.#onData(data);
      },
      onError: () => {
        this.#onConnectionLost();
      },
      onComplete: () => {
        this.#onFeedEnded();
      },
    });
  }

  /**
   * Connects and subscribes anew, as the peer has ended the feed: it keeps one for each router,
   * and one by its seed address may have replaced this one.
   */
  #onFeedEnded(): void {
    if (this.#closed) {
      return;
    }
    this.#onConnectionLost();
    this.reset();
    this.#subscribe();
  }

  #onData(data: unknown): void {
    const { peer, listener } = this.#options;
    const parsed = feedMessageSchema.safeParse(data);
    if (!parsed.success) {
      listener.onMalformed(peer);
      return;
    }
    this.#receivedCount += 1;
    this.#onMessage(parsed.data);
  }

  /** Connects anew, as the frame may have held updates that the peer sends once. */
  #onMalformedFrame(): void {
    const { peer, listener } = this.#options;
    listener.onMalformed(peer);
    this.reset();
  }

  #onMessage(message: CheckedFeedMessage): void {
    const { peer, listener, proof } = this.#options;
    if ('identity' in message) {
      const { identity } = message;
      const isExpectedPeer =
        identity.id === peer || peer === addressName(this.address);
      const isAuthentic =
        isExpectedPeer &&
        proof.isServerProofValid(identity.id, this.#nonce, message.proof);
      if (!isAuthentic) {
        this.reset();
        return;
      }
      this.#verified = true;
      listener.onConnected(identity);
      return;
    }
    if (this.#verified) {
      listener.onGossip(peer, message);
    } else {
      listener.onMalformed(peer);
    }
  }

  #connectionParameters(): ReturnType<PeerProof['connectionParameters']> {
    this.#nonce = newNonce();
    this.#verified = false;
    return this.#options.proof.connectionParameters(
      this.#options.peer,
      this.#nonce,
    );
  }

  /** Exponential backoff with full jitter. */
  #retryDelay(attempt: number): number {
    const ceiling = Math.min(MAX_RETRY_DELAY_MS, RETRY_BASE_MS * 2 ** attempt);
    return RETRY_BASE_MS / 2 + this.#options.random.fraction() * ceiling;
  }

  #onConnectionLost(): void {
    this.#verified = false;
    if (!this.#closed) {
      this.#options.listener.onDisconnected(this.#options.peer);
    }
  }

  /** Returns a WebSocket class that registers each socket with this link and the meter. */
  #socketClass(): typeof WebSocket {
    const { meter } = this.#options;
    const onOpened = (socket: WebSocketClient) => {
      this.#socket = socket;
      socket.on('pong', () => {
        this.#receivedCount += 1;
      });
    };
    const checkOpen = () => {
      this.#checkOpen();
    };
    const meteredClass = class extends WebSocketClient {
      constructor(url: string) {
        checkOpen();
        super(url, {
          perMessageDeflate: false,
          handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
          maxPayload: MAX_MESSAGE_BYTES,
        });
        this.once('upgrade', ({ socket }) => {
          meter.track(socket);
        });
        onOpened(this);
      }
    };
    return meteredClass as unknown as typeof WebSocket;
  }
}
