/**
 * Tells whether an endpoint closed a connection, and so ended a response that has no
 * length and no chunks, or whether the system did so as a process ended. A process that
 * has ended accepts no connections.
 */
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import type { RouterDirectory } from '@sesamegrade/core/peers/router-directory';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { RouterId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { TunnelClient } from '../tunnels/tunnel-client';
import type { ConnectionPool } from './connection-pool';
import type { EndpointDialer } from './endpoint-dialer';
import { probeEndpoint } from './endpoint-probe';

/** Time from the end to the probe, as a process that ends closes its connections in any order. */
const PROBE_DELAY: Milliseconds = milliseconds(20);
const PROBE_TIMEOUT: Milliseconds = milliseconds(200);

export interface ConnectionEndOptions {
  readonly connectionPool: ConnectionPool;
  readonly endpointDialer: EndpointDialer;
  readonly tunnelClient: TunnelClient;
  readonly routerDirectory: RouterDirectory;
  readonly timers: TimerService;
}

export class ConnectionEnd {
  readonly #options: ConnectionEndOptions;

  constructor(options: ConnectionEndOptions) {
    this.#options = options;
  }

  /** Resolves with true only if the endpoint, and a router between, still run. */
  async isMadeByEndpoint(
    entry: EndpointEntry,
    via: RouterId | undefined,
  ): Promise<boolean> {
    const { connectionPool, endpointDialer, timers } = this.#options;
    await new Promise<void>(resolve => {
      timers.after(PROBE_DELAY, () => {
        resolve();
      });
    });
    if (via !== undefined) {
      return this.#isReachedThrough(via, entry);
    }
    if (connectionPool.hasIdle(entry.id)) {
      return true;
    }
    const { address } = entry;
    const probe = await probeEndpoint(endpointDialer, address, PROBE_TIMEOUT);
    return probe === 'listening';
  }

  /** A router that stops or was restarted makes no connection, and its end proves nothing. */
  #isReachedThrough(
    via: RouterId,
    { address }: EndpointEntry,
  ): Promise<boolean> {
    const { tunnelClient, routerDirectory } = this.#options;
    const router = routerDirectory.get(via);
    if (!router) {
      return Promise.resolve(false);
    }
    return new Promise(resolve => {
      tunnelClient.dial(router, address, PROBE_TIMEOUT, result => {
        if (result.ok) {
          result.value.socket.destroy();
        }
        resolve(result.ok);
      });
    });
  }
}
