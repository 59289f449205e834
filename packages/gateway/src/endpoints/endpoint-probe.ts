/** Finds out by a connection whether a process still listens at an endpoint's address. */
import type { Address } from '@sesamegrade/core/types/endpoint';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { EndpointDialer } from './endpoint-dialer';

export type ProbeResult =
  | 'listening'
  /** The machine rejects connections to the port: the process has ended. */
  | 'refused'
  /** No answer in time, or the machine cannot be reached. */
  | 'unknown';

/** Connects and closes the connection without sending anything. */
export function probeEndpoint(
  dialer: EndpointDialer,
  address: Address,
  timeout: Milliseconds,
): Promise<ProbeResult> {
  return new Promise(resolve => {
    dialer.dial({ address, timeout }, result => {
      if (result.ok) {
        result.value.socket.destroy();
      }
      resolve(result.ok ? 'listening' : failureOf(result.failure));
    });
  });
}

function failureOf(error: Error): ProbeResult {
  const isRefused = 'code' in error && error.code === 'ECONNREFUSED';
  return isRefused ? 'refused' : 'unknown';
}
