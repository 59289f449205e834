import { once } from 'node:events';
import { createServer as createHttpServer } from 'node:http';
import type { Server as HttpServer } from 'node:http';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

import { expect } from 'chai';
import { request } from 'undici';

import { adoptEarlyListener } from './early-listener';

const HOST = '127.0.0.1';
const EARLY_LISTENER = Symbol.for('sesamegrade.early-listener');
const REQUEST = `GET / HTTP/1.1\r\nHost: ${HOST}\r\n\r\n`;

describe('adoptEarlyListener', () => {
  let early: Server;

  beforeEach(async () => {
    early = createServer({ allowHalfOpen: true });
    early.listen(0, HOST);
    await once(early, 'listening');
    Object.assign(globalThis, {
      [EARLY_LISTENER]: { server: early, sockets: [] },
    });
  });

  afterEach(() => {
    Reflect.deleteProperty(globalThis, EARLY_LISTENER);
    early.close();
  });

  function adopt(
    server: HttpServer,
    onAcceptFailure: (error: Error) => void = () => undefined,
  ): number {
    const { port } = early.address() as AddressInfo;
    const address = { host: HOST, port };
    expect(adoptEarlyListener(server, address, onAcceptFailure)).to.equal(true);
    return port;
  }

  async function open(port: number, text: string): Promise<Socket> {
    const socket = connect(port, HOST);
    await once(socket, 'connect');
    socket.write(text);
    return socket;
  }

  // Guards against a stop that leaves connections open, and passes requests on that arrive as the process exits.
  it('has the server close idle connections, and all of them', async () => {
    let requests = 0;
    const server = createHttpServer((_request, response) => {
      requests += 1;
      if (requests === 1) {
        response.end('served');
      }
    });
    const port = adopt(server);
    const idle = await open(port, REQUEST);
    await once(idle, 'data');
    const used = await open(port, REQUEST);
    await once(server, 'request');
    server.closeIdleConnections();
    await once(idle, 'close');
    expect(used.destroyed).to.equal(false);
    server.closeAllConnections();
    await once(used.resume(), 'close');
    expect(requests).to.equal(2);
  });

  // Guards against connections that are held open by requests whose heads never end.
  it('has the server limit the time of a head', async () => {
    const server = createHttpServer({
      headersTimeout: 100,
      requestTimeout: 200,
      connectionsCheckingInterval: 50,
    });
    const port = adopt(server);
    const slow = await open(port, REQUEST.slice(0, -2));
    const [response] = (await once(slow, 'data')) as [Buffer];
    expect(response.toString()).to.match(/^HTTP\/1\.1 408 /u);
    server.close();
  });

  // Guards against a router that ends, with all its requests, as it has no file descriptor for a new connection.
  it('reports a connection that cannot be accepted and goes on serving', async () => {
    const server = createHttpServer((_request, response) => {
      response.end('served');
    });
    const failures: string[] = [];
    const port = adopt(server, ({ message }) => {
      failures.push(message);
    });
    early.emit('error', new Error('accept EMFILE'));
    const { body } = await request(`http://${HOST}:${port}`);
    expect(await body.text()).to.equal('served');
    expect(failures).to.deep.equal(['accept EMFILE']);
  });
});
