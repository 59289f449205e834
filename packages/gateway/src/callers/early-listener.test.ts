import { createServer as createHttpServer } from 'node:http';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

import { expect } from 'chai';
import { request } from 'undici';

import { adoptEarlyListener } from './early-listener';

const HOST = '127.0.0.1';
const EARLY_LISTENER = Symbol.for('sesamegrade.early-listener');

describe('adoptEarlyListener', () => {
  afterEach(() => {
    Reflect.deleteProperty(globalThis, EARLY_LISTENER);
  });

  // Guards against a router that ends, with all its requests, as it has no file descriptor for a new connection.
  it('reports a connection that cannot be accepted and goes on serving', async () => {
    const early = createServer();
    await new Promise<void>(resolve => {
      early.listen(0, HOST, resolve);
    });
    Object.assign(globalThis, {
      [EARLY_LISTENER]: { server: early, sockets: [] },
    });
    const { port } = early.address() as AddressInfo;
    const server = createHttpServer((_request, response) => {
      response.end('served');
    });
    const failures: string[] = [];
    const isAdopted = adoptEarlyListener(
      server,
      { host: HOST, port },
      ({ message }) => {
        failures.push(message);
      },
    );
    expect(isAdopted).to.equal(true);
    early.emit('error', new Error('accept EMFILE'));
    const { body } = await request(`http://${HOST}:${port}`);
    expect(await body.text()).to.equal('served');
    expect(failures).to.deep.equal(['accept EMFILE']);
    early.close();
  });
});
