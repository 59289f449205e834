/**
 * Tells whether an endpoint closed a connection, and so ended a response that has no
 * length and no chunks, or whether the system did so as a process ended. A process that
 * has ended accepts no connections.
 */
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import type { RouterDirectory } from '@sesamegrade/core/peers/router-directory';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { Address } from '@sesamegrade/core/types/endpoint';
import type { RouterId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import { TunnelRefusedError } from '../tunnels/tunnel-client';
import type { TunnelClient } from '../tunnels/tunnel-client';
import { TunnelStatus } from '../tunnels/tunnel-server';
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
    const { address } = entry;
    if (via !== undefined) {
      const path = await this.#pathThrough(via, address);
      if (path !== 'stopping') {
        return path === 'open';
      }
    } else if (connectionPool.hasIdle(entry.id)) {
      return true;
    }
    const probe = await probeEndpoint(endpointDialer, address, PROBE_TIMEOUT);
    return probe === 'listening';
  }

  /**
   * A router that was restarted has closed the connection itself; one that is stopping
   * resets those that it closes, so that this one was closed by the endpoint.
   */
  #pathThrough(
    via: RouterId,
    address: Address,
  ): Promise<'open' | 'stopping' | 'unknown'> {
    const { tunnelClient, routerDirectory } = this.#options;
    const router = routerDirectory.get(via);
    if (!router) {
      return Promise.resolve('unknown');
    }
    return new Promise(resolve => {
      tunnelClient.dial(router, address, PROBE_TIMEOUT, result => {
        if (result.ok) {
          result.value.socket.destroy();
          resolve('open');
          return;
        }
        const { failure } = result;
        const isStopping =
          failure instanceof TunnelRefusedError &&
          failure.status === TunnelStatus.stopping;
        resolve(isStopping ? 'stopping' : 'unknown');
      });
    });
  }
}
