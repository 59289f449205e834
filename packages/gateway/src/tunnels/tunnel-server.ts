/**
 * Connects other routers to endpoints that they do not reach themselves. Only
 * addresses of the endpoint directory are connected to, and only directly, so that
 * routers which each lack a path cannot send each other in circles.
 */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import type { EndpointPaths } from '@sesamegrade/core/endpoint-paths/endpoint-paths';
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { formatAddress } from '@sesamegrade/core/types/address';
import type { Address } from '@sesamegrade/core/types/endpoint';
import { elapsed, milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { PeerProof } from '@sesamegrade/router/peers/peer-proof';
import type { EndpointDialer } from '../endpoints/endpoint-dialer';
import { probeEndpoint } from '../endpoints/endpoint-probe';
import type { BoundedSocket } from '../http/bounded-socket';
import type { DecisionLog } from '../logs/decision-log';
import type { ShutdownSequence } from '../process/shutdown-sequence';
import { parseCredentials } from './tunnel-credentials';

/** Tunnels at one router; each takes two file descriptors. */
const MAX_TUNNELS = 400;
const DIAL_TIMEOUT: Milliseconds = milliseconds(150);
/** Other endpoints that are tried to find out whether this router's own paths are cut. */
const MAX_WITNESSES = 3;
/** Time without bytes after which a tunnel counts as idle. */
const IDLE_AFTER: Milliseconds = seconds(1);

export const TunnelStatus = {
  established: 200,
  unauthorized: 407,
  unknownEndpoint: 403,
  /** The endpoint refuses connections, and others of its service accept them. */
  endpointRefused: 502,
  /** All endpoints of the service refuse connections to this router. */
  serviceRefused: 500,
  unavailable: 503,
  endpointTimeout: 504,
} as const;

export interface TunnelServerOptions {
  readonly peerProof: PeerProof;
  readonly directDialer: EndpointDialer;
  readonly endpointDirectory: EndpointDirectory;
  readonly endpointPaths: EndpointPaths;
  readonly shutdownSequence: ShutdownSequence;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
  readonly log: DecisionLog;
}

interface Tunnel {
  readonly client: Socket;
  lastBytesAt: Instant;
}

export class TunnelServer {
  readonly #options: TunnelServerOptions;
  readonly #tunnels = new Set<Tunnel>();
  #openedCount = 0;

  constructor(options: TunnelServerOptions) {
    this.#options = options;
  }

  /** Number of tunnels that were established since the start. */
  get openedCount(): number {
    return this.#openedCount;
  }

  /** Number of tunnels that are open. */
  get openCount(): number {
    return this.#tunnels.size;
  }

  /** Number of tunnels on which bytes passed lately. */
  get activeCount(): number {
    const now = this.#options.timers.now();
    return [...this.#tunnels].filter(
      ({ lastBytesAt }) => elapsed(lastBytesAt, now) < IDLE_AFTER,
    ).length;
  }

  /** Closes the tunnels on which no bytes passed lately. */
  closeIdle(): void {
    const now = this.#options.timers.now();
    for (const { client, lastBytesAt } of this.#tunnels) {
      if (elapsed(lastBytesAt, now) >= IDLE_AFTER) {
        client.end();
      }
    }
  }

  /** Closes all tunnels at once. */
  close(): void {
    for (const { client } of this.#tunnels) {
      client.destroy();
    }
  }

  /** Answers a CONNECT request of a peer. */
  accept(request: IncomingMessage, client: Socket): void {
    const { peerProof, directDialer } = this.#options;
    client.on('error', () => undefined);
    const credentials = parseCredentials(
      request.headers['proxy-authorization'],
    );
    const peer = peerProof.authenticateClient(credentials);
    if (!peer) {
      refuse(client, TunnelStatus.unauthorized);
      return;
    }
    const address = this.#endpointAddress(request.url ?? '');
    if (!address) {
      refuse(client, TunnelStatus.unknownEndpoint);
      return;
    }
    if (!this.#isAvailable()) {
      refuse(client, TunnelStatus.unavailable);
      return;
    }
    const dialing = directDialer.dial(
      { address, timeout: DIAL_TIMEOUT },
      result => {
        if (!result.ok) {
          const { failure } = result;
          this.#options.backgroundTasks.run('tunnel-refusal', () =>
            this.#refuseUnreachable(client, address, failure),
          );
          return;
        }
        const { socket: endpoint } = result.value;
        if (client.destroyed) {
          endpoint.destroy();
          return;
        }
        this.#options.log.write('tunnel', {
          peer: peer.identity.id,
          address: formatAddress(address),
        });
        this.#join(client, endpoint);
      },
    );
    client.once('close', () => {
      dialing.cancel();
    });
  }

  /**
   * Answers that there is no connection. A refused one proves that the endpoint has
   * ended only if this router reaches others of its service, as its own paths may be cut.
   */
  async #refuseUnreachable(
    client: Socket,
    address: Address,
    failure: Error,
  ): Promise<void> {
    const isRefused = 'code' in failure && failure.code === 'ECONNREFUSED';
    if (!isRefused) {
      refuse(client, TunnelStatus.endpointTimeout);
      return;
    }
    refuse(client, await this.#statusOfRefusal(address));
  }

  async #statusOfRefusal(address: Address): Promise<number> {
    const { endpointDirectory } = this.#options;
    const all = endpointDirectory.all();
    const service = all.find(entry => isSame(entry.address, address))?.service;
    const others = all.filter(entry => !isSame(entry.address, address));
    const siblings = others.filter(entry => entry.service === service);
    const strangers = others.filter(entry => entry.service !== service);
    if (await this.#reachesAny(siblings)) {
      return TunnelStatus.endpointRefused;
    }
    if (strangers.length > 0 && !(await this.#reachesAny(strangers))) {
      return TunnelStatus.unavailable;
    }
    return siblings.length > 0
      ? TunnelStatus.serviceRefused
      : TunnelStatus.endpointRefused;
  }

  async #reachesAny(entries: readonly EndpointEntry[]): Promise<boolean> {
    const { directDialer } = this.#options;
    const results = await Promise.all(
      entries
        .slice(0, MAX_WITNESSES)
        .map(({ address }) =>
          probeEndpoint(directDialer, address, DIAL_TIMEOUT),
        ),
    );
    return results.includes('listening');
  }

  #isAvailable(): boolean {
    const { endpointPaths, shutdownSequence } = this.#options;
    return (
      !shutdownSequence.hasStarted &&
      !endpointPaths.isIsolated &&
      this.#tunnels.size < MAX_TUNNELS
    );
  }

  #endpointAddress(target: string): Address | undefined {
    return this.#options.endpointDirectory
      .all()
      .map(({ address }) => address)
      .find(address => formatAddress(address) === target);
  }

  #join(client: Socket, endpoint: BoundedSocket): void {
    const { timers } = this.#options;
    const tunnel: Tunnel = { client, lastBytesAt: timers.now() };
    const onBytes = () => {
      tunnel.lastBytesAt = timers.now();
    };
    this.#openedCount += 1;
    this.#tunnels.add(tunnel);
    client.once('close', () => {
      this.#tunnels.delete(tunnel);
    });
    client.setNoDelay(true);
    client.write(`HTTP/1.1 ${TunnelStatus.established} Established\r\n\r\n`);
    endpoint.on('data', () => {
      endpoint.resetCount();
    });
    forward(endpoint, client, onBytes);
    forward(client, endpoint, onBytes);
    endpoint.on('end', () => {
      if (endpoint.wasReset()) {
        client.resetAndDestroy();
      } else {
        client.end();
      }
    });
    // Routers do not close one direction only.
    client.on('end', () => {
      endpoint.destroy();
    });
  }
}

/** Passes on the bytes of a socket, its reset, and its close before its end. */
function forward(source: Socket, sink: Socket, onBytes: () => void): void {
  source.on('data', (chunk: Buffer) => {
    onBytes();
    if (!sink.write(chunk)) {
      source.pause();
    }
  });
  sink.on('drain', () => {
    source.resume();
  });
  source.on('error', () => {
    sink.resetAndDestroy();
  });
  source.on('close', () => {
    if (!source.readableEnded) {
      sink.destroy();
    }
  });
}

function isSame(left: Address, right: Address): boolean {
  return left.host === right.host && left.port === right.port;
}

function refuse(client: Socket, status: number): void {
  client.end(`HTTP/1.1 ${status} Refused\r\nConnection: close\r\n\r\n`);
}
