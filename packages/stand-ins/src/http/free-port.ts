/** Finds a free TCP port for a process that needs its port number before it listens. */
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
