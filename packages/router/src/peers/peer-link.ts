/** A persistent connection to one other router, over which its gossip arrives. */
import { createTRPCClient, createWSClient, wsLink } from '@trpc/client';
import { WebSocket as WebSocketClient } from 'ws';

import type { RouterIdentity } from '@sesamegrade/core/membership/router-table';
import type { Random } from '@sesamegrade/core/random/random';
import type { Address } from '@sesamegrade/core/types/endpoint';
import type { RouterId } from '@sesamegrade/core/types/ids';
import { binaryEncoder, feedMessageSchema } from './peer-message';
import type { CheckedFeedMessage, GossipFrame } from './peer-message';
import { addressName, newNonce } from './peer-proof';
import type { PeerProof } from './peer-proof';
import type { PeerRoutes } from './peer-routes';
import type { SocketMeter } from './socket-meter';

const RETRY_BASE_MS = 200;
const MAX_RETRY_DELAY_MS = 10_000;
const HANDSHAKE_TIMEOUT_MS = 3000;
/** A whole configuration is the largest message. */
const MAX_MESSAGE_BYTES = 4_194_304;

export interface PeerLinkListener {
  /** The other end proved who it is. */
  onConnected(peer: RouterIdentity): void;
  /** The connection broke, could not be made, or is not the router meant. */
  onDisconnected(peer: RouterId): void;
  onGossip(peer: RouterId, frame: GossipFrame): void;
  /** A message that no schema accepted. */
  onMalformed(peer: RouterId): void;
}

export interface PeerLinkOptions {
  /** Whom to reach; `addressName` of the address where the id is not known. */
  readonly peer: RouterId;
  readonly address: Address;
  readonly proof: PeerProof;
  readonly meter: SocketMeter;
  readonly random: Random;
  readonly listener: PeerLinkListener;
}

export class PeerLink {
  readonly address: Address;
  readonly #options: PeerLinkOptions;
  readonly #connection: ReturnType<typeof createWSClient>;
  readonly #client: ReturnType<typeof createTRPCClient<PeerRoutes>>;
  #socket: WebSocketClient | undefined;
  #nonce = newNonce();
  #verified = false;
  #closed = false;
  #heard = 0;

  constructor(options: PeerLinkOptions) {
    this.#options = options;
    this.address = options.address;
    const { host, port } = options.address;
    this.#connection = createWSClient({
      url: `ws://${host}:${port}/`,
      WebSocket: this.#socketClass(),
      connectionParams: () => this.#parameters(),
      retryDelayMs: attempt => this.#retryDelay(attempt),
      onClose: () => {
        this.#broken();
      },
      onError: () => {
        this.#broken();
      },
      experimental_encoder: binaryEncoder,
    });
    const link = wsLink<PeerRoutes>({ client: this.#connection });
    this.#client = createTRPCClient<PeerRoutes>({ links: [link] });
    this.#subscribe();
  }

  get verified(): boolean {
    return this.#verified;
  }

  /** Messages and answers to probes that came over this link. */
  get receivedCount(): number {
    return this.#heard;
  }

  /** Asks the other end for a sign of life. */
  probe(): void {
    if (this.#socket?.readyState === WebSocketClient.OPEN) {
      this.#socket.ping();
    }
  }

  /** Breaks the connection; it is made anew. */
  reset(): void {
    this.#socket?.terminate();
  }

  /** Fetches the whole configuration; rejects when the connection breaks. */
  fetchConfiguration(): Promise<unknown> {
    return this.#client.configuration.query();
  }

  async close(): Promise<void> {
    this.#closed = true;
    this.#socket?.terminate();
    await this.#connection.close();
  }

  #subscribe(): void {
    this.#client.feed.subscribe(undefined, {
      onData: data => {
        this.#arrived(data);
      },
      onError: () => {
        this.#broken();
      },
    });
  }

  #arrived(data: unknown): void {
    const { peer, listener } = this.#options;
    const parsed = feedMessageSchema.safeParse(data);
    if (!parsed.success) {
      listener.onMalformed(peer);
      return;
    }
    this.#heard += 1;
    this.#take(parsed.data);
  }

  #take(message: CheckedFeedMessage): void {
    const { peer, listener, proof } = this.#options;
    if ('identity' in message) {
      const { identity } = message;
      const isMeant =
        identity.id === peer || peer === addressName(this.address);
      const holds =
        isMeant &&
        proof.isServerProofValid(identity.id, this.#nonce, message.proof);
      if (!holds) {
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

  #parameters(): ReturnType<PeerProof['connectionParameters']> {
    this.#nonce = newNonce();
    this.#verified = false;
    return this.#options.proof.connectionParameters(
      this.#options.peer,
      this.#nonce,
    );
  }

  /** Exponential, with full jitter. */
  #retryDelay(attempt: number): number {
    const ceiling = Math.min(MAX_RETRY_DELAY_MS, RETRY_BASE_MS * 2 ** attempt);
    return RETRY_BASE_MS / 2 + this.#options.random.fraction() * ceiling;
  }

  #broken(): void {
    this.#verified = false;
    if (!this.#closed) {
      this.#options.listener.onDisconnected(this.#options.peer);
    }
  }

  /** A WebSocket whose bytes are counted and which this link can reach. */
  #socketClass(): typeof WebSocket {
    const { meter } = this.#options;
    const opened = (socket: WebSocketClient) => {
      this.#socket = socket;
      socket.on('pong', () => {
        this.#heard += 1;
      });
    };
    const counted = class extends WebSocketClient {
      constructor(url: string) {
        super(url, {
          perMessageDeflate: false,
          handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
          maxPayload: MAX_MESSAGE_BYTES,
        });
        this.once('upgrade', ({ socket }) => {
          meter.track(socket);
        });
        opened(this);
      }
    };
    return counted as unknown as typeof WebSocket;
  }
}
