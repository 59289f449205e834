import { createServer } from 'node:http';

import { expect } from 'chai';
import { request } from 'undici';

import { listen } from './listen';

const ADDRESS = { host: '127.0.0.1', port: 0 };

describe('listen', () => {
  // Guards against a router that ends, with all its requests, as it has no file descriptor for a new connection.
  it('reports a connection that cannot be accepted and goes on serving', async () => {
    const server = createServer((_request, response) => {
      response.end('served');
    });
    const failures: string[] = [];
    const { host, port } = await listen(server, ADDRESS, ({ message }) => {
      failures.push(message);
    });
    server.emit('error', new Error('accept EMFILE'));
    const { body } = await request(`http://${host}:${port}`);
    expect(await body.text()).to.equal('served');
    expect(failures).to.deep.equal(['accept EMFILE']);
    server.close();
  });

  it('rejects an address that is taken', async () => {
    const first = createServer();
    const address = await listen(first, ADDRESS, () => undefined);
    const outcome = await listen(createServer(), address, () => undefined).then(
      () => 'listens',
      (error: unknown) => (error as NodeJS.ErrnoException).code,
    );
    expect(outcome).to.equal('EADDRINUSE');
    first.close();
  });
});
