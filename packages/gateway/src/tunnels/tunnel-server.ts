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
import { formatAddress } from '@sesamegrade/core/types/address';
import type { Address } from '@sesamegrade/core/types/endpoint';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
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

export const TunnelStatus = {
  established: 200,
  unauthorized: 407,
  unknownEndpoint: 403,
  /** The endpoint refuses connections, and others of its service accept them. */
  endpointRefused: 502,
  /** All endpoints of the service refuse connections to this router. */
  serviceRefused: 500,
  unavailable: 503,
  /** The router is stopping; it resets what it closes itself. Older builds say `unavailable` and do not. */
  stopping: 410,
  endpointTimeout: 504,
} as const;

export interface TunnelServerOptions {
  readonly peerProof: PeerProof;
  readonly directDialer: EndpointDialer;
  readonly endpointDirectory: EndpointDirectory;
  readonly endpointPaths: EndpointPaths;
  readonly shutdownSequence: ShutdownSequence;
  readonly backgroundTasks: BackgroundTasks;
  readonly log: DecisionLog;
}

export class TunnelServer {
  readonly #options: TunnelServerOptions;
  /** The connections of peers that tunnels lead from. */
  readonly #tunnels = new Set<Socket>();
  #openedCount = 0;

  constructor(options: TunnelServerOptions) {
    this.#options = options;
  }

  /** Number of tunnels that were established since the start. */
  get openedCount(): number {
    return this.#openedCount;
  }

  /** Number of tunnels that are open; routers close theirs soon after the last request. */
  get openCount(): number {
    return this.#tunnels.size;
  }

  /** Resets all tunnels, as a regular close would pass for one of the endpoint. */
  close(): void {
    for (const client of this.#tunnels) {
      client.resetAndDestroy();
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
    if (this.#options.shutdownSequence.hasStarted) {
      refuse(client, TunnelStatus.stopping);
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
    return (
      !this.#options.endpointPaths.isIsolated &&
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
    this.#openedCount += 1;
    this.#tunnels.add(client);
    client.once('close', () => {
      this.#tunnels.delete(client);
    });
    client.setNoDelay(true);
    client.write(`HTTP/1.1 ${TunnelStatus.established} Established\r\n\r\n`);
    endpoint.on('data', () => {
      endpoint.resetCount();
    });
    forward(endpoint, client);
    forward(client, endpoint);
    endpoint.on('end', () => {
      // A reset that arrived with the last bytes fails the write in progress.
      endpoint.whenWritten(isWritten => {
        if (isWritten) {
          client.end();
        } else {
          client.resetAndDestroy();
        }
      });
    });
    // Routers do not close one direction only.
    client.on('end', () => {
      endpoint.destroy();
    });
  }
}

/** Passes on the bytes of a socket, its reset, and its close before its end. */
function forward(source: Socket, sink: Socket): void {
  source.on('data', (chunk: Buffer) => {
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
