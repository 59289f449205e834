/** Finds out by a connection whether a process still listens at an endpoint's address. */
import { Socket } from 'node:net';

import type { Address } from '@sesamegrade/core/types/endpoint';
import type { Milliseconds } from '@sesamegrade/core/types/units';

export type ProbeResult =
  | 'listening'
  /** The machine rejects connections to the port: the process has ended. */
  | 'refused'
  /** No answer in time, or the machine cannot be reached. */
  | 'unknown';

/** Connects and closes the connection without sending anything. */
export async function probeEndpoint(
  { host, port }: Address,
  timeout: Milliseconds,
): Promise<ProbeResult> {
  const socket = new Socket();
  try {
    return await new Promise<ProbeResult>(resolve => {
      socket.setTimeout(timeout, () => {
        resolve('unknown');
      });
      socket.once('connect', () => {
        resolve('listening');
      });
      socket.once('error', error => {
        const isRefused = 'code' in error && error.code === 'ECONNREFUSED';
        resolve(isRefused ? 'refused' : 'unknown');
      });
      socket.connect({ host, port });
    });
  } finally {
    socket.destroy();
  }
}
