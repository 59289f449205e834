/**
 * Takes over the listening socket that scripts/load-bundle.cjs opened before
 * the program was loaded.
 */
import type { Server as HttpServer } from 'node:http';
import type { Server, Socket } from 'node:net';

import type { Address } from '@sesamegrade/core/types/endpoint';
import type { AcceptFailureListener } from '@sesamegrade/router/http/listen';

interface EarlyListener {
  readonly server: Server;
  /** Connections accepted so far; no byte of them has been read. */
  readonly sockets: Socket[];
}

const EARLY_LISTENER_KEY = Symbol.for('sesamegrade.early-listener');

/**
 * Hands the early listener's connections to the server; returns false if none
 * listens at the address.
 */
export function adoptEarlyListener(
  server: HttpServer,
  { host, port }: Address,
  onAcceptFailure: AcceptFailureListener,
): boolean {
  const listener = (globalThis as { [EARLY_LISTENER_KEY]?: EarlyListener })[
    EARLY_LISTENER_KEY
  ];
  const bound = listener?.server.address();
  const isSame =
    typeof bound === 'object' &&
    bound !== null &&
    bound.address === host &&
    bound.port === port;
  if (!listener || !isSame) {
    return false;
  }
  listener.server.removeAllListeners('connection');
  listener.server.removeAllListeners('error');
  listener.server.on('error', onAcceptFailure);
  // Without this event Node.js keeps no list of the connections: it closes none of them, and
  // limits no request's time.
  server.emit('listening');
  listener.server.on('connection', (socket: Socket) => {
    server.emit('connection', socket);
  });
  for (const socket of listener.sockets.splice(0)) {
    server.emit('connection', socket);
  }
  server.once('close', () => {
    listener.server.close();
  });
  return true;
}
