/** Opens the listener of a server. */
import type { AddressInfo, ListenOptions, Server } from 'node:net';

import type { Address } from '@sesamegrade/core/types/endpoint';

/** A connection that could not be accepted, as when no file descriptor is free. */
export type AcceptFailureListener = (error: Error) => void;

/**
 * Resolves with the bound address, or rejects if it cannot be bound. An error after that
 * ends neither the listener nor, unlike one without a listener for it, the process.
 */
export async function listen(
  server: Server,
  { host, port }: Address,
  onAcceptFailure: AcceptFailureListener,
  options: Pick<ListenOptions, 'backlog'> = {},
): Promise<Address> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port, ...options }, () => {
      server.off('error', reject);
      server.on('error', onAcceptFailure);
      resolve();
    });
  });
  return { host, port: (server.address() as AddressInfo).port };
}
