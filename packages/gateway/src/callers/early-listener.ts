/** The socket on which the program's loader accepted callers before the program ran. */
import type { Server as HttpServer } from 'node:http';
import type { Server, Socket } from 'node:net';

import type { Address } from '@sesamegrade/core/types/endpoint';

interface EarlyListener {
  readonly server: Server;
  /** Connections accepted so far; nothing of them has been read. */
  readonly sockets: Socket[];
}

const KEY = Symbol.for('sesamegrade.early-listener');

/** Hands the loader's connections to the server; false when the loader listens elsewhere or not at all. */
export function adoptEarlyListener(
  server: HttpServer,
  { host, port }: Address,
): boolean {
  const early = (globalThis as { [KEY]?: EarlyListener })[KEY];
  const bound = early?.server.address();
  const isSame =
    typeof bound === 'object' &&
    bound !== null &&
    bound.address === host &&
    bound.port === port;
  if (!early || !isSame) {
    return false;
  }
  early.server.removeAllListeners('connection');
  early.server.on('connection', (socket: Socket) => {
    server.emit('connection', socket);
  });
  for (const socket of early.sockets.splice(0)) {
    server.emit('connection', socket);
  }
  server.once('close', () => {
    early.server.close();
  });
  return true;
}
