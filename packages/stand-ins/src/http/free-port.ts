/** Finds a free TCP port for a process that needs its port number before it listens. */
import { randomInt } from 'node:crypto';
import { createServer } from 'node:net';

/** Resolves to a port of the host on which nothing listens at the moment. */
export function freePort(host = '127.0.0.1'): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const address = server.address();
      const port = typeof address === 'object' && address ? address.port : 0;
      server.close(() => {
        resolve(port);
      });
    });
  });
}

/** Below the ports that the system gives to outgoing connections. */
const FIRST_FIXED_PORT = 12_000;
const LAST_FIXED_PORT = 31_999;

/**
 * Returns ports that no outgoing connection takes while their process restarts,
 * which happens to those of `freePort`.
 */
export async function fixedPorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  const range = LAST_FIXED_PORT - FIRST_FIXED_PORT;
  while (ports.length < count) {
    const port = FIRST_FIXED_PORT + randomInt(range);
    if (!ports.includes(port) && (await canListen(port))) {
      ports.push(port);
    }
  }
  return ports;
}

function canListen(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
