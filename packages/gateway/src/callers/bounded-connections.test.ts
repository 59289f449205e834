import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import { expect } from 'chai';

import { BoundedConnections } from './bounded-connections';
import type { ConnectionBounds, ReachedLimit } from './connection-bounds';

const BOUNDS: ConnectionBounds = {
  connections: 100,
  connectionsPerAddress: 100,
  pipelinedRequests: 4,
  pipelinedTotal: 50,
  unreadBytes: 10_000,
};
/** Time in which the server reads what was sent. */
const READ_MS = 100;
const WAIT_LIMIT_MS = 10_000;
const head = (path: string) => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;

interface Served {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

describe('BoundedConnections', () => {
  let server: Server;
  let sockets: Socket[];
  let served: Served[];
  let reached: ReachedLimit[];
  let serve: (served: Served) => void;

  beforeEach(() => {
    sockets = [];
    served = [];
    reached = [];
    serve = () => undefined;
  });

  afterEach(() => {
    sockets.forEach(socket => socket.destroy());
    server.closeAllConnections();
    server.close();
  });

  async function listen(bounds: Partial<ConnectionBounds> = {}): Promise<void> {
    server = createServer({ requireHostHeader: false });
    new BoundedConnections({
      server,
      bounds: { ...BOUNDS, ...bounds },
      serve: (request, response) => {
        served.push({ request, response });
        serve({ request, response });
      },
      onLimit: limit => reached.push(limit),
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  }

  async function open(): Promise<Socket> {
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    sockets.push(socket);
    await once(socket, 'connect');
    return socket;
  }

  async function until(condition: () => boolean): Promise<void> {
    const end = Date.now() + WAIT_LIMIT_MS;
    while (!condition() && Date.now() < end) {
      await pause(5);
    }
    expect(condition(), String(condition)).to.equal(true);
  }

  function received(socket: Socket): () => string {
    let text = '';
    socket.on('data', data => {
      text += data.toString('latin1');
    });
    return () => text;
  }

  const bodiesOf = (text: string) =>
    [...text.matchAll(/\r\n\r\n(\/\d+)/gu)].map(([, body]) => body);

  it('serves as many requests of a connection at once as allowed, and the next ones in order when responses are sent', async () => {
    await listen();
    const socket = await open();
    const text = received(socket);
    const paths = Array.from({ length: 100 }, (_, at) => `/${at}`);
    socket.write(paths.map(head).join(''));
    await until(() => served.length === 4);
    await pause(READ_MS);
    expect(served).to.have.length(4);
    expect(reached).to.deep.equal(['pipelined-requests']);
    serve = ({ request, response }) => response.end(request.url);
    served.forEach(serve);
    await until(() => bodiesOf(text()).length === 100);
    expect(bodiesOf(text())).to.deep.equal(paths);
  });

  // Guards against many connections that each have several requests served at once.
  it('limits the requests of all connections that are served beside an earlier one', async () => {
    await listen({ pipelinedTotal: 3 });
    for (let count = 0; count < 5; count += 1) {
      (await open()).write(['/1', '/2', '/3', '/4'].map(head).join(''));
    }
    await until(() => served.length >= 8);
    await pause(READ_MS);
    expect(served).to.have.length(8);
    serve = ({ response }) => response.end();
    served.slice().forEach(serve);
    await until(() => served.length === 20);
  });

  // Guards against a request that runs for a caller that reads no responses.
  it('serves no further request beside more unread bytes than allowed', async () => {
    await listen();
    const socket = await open();
    socket.pause();
    const body = 'x'.repeat(20_000_000);
    serve = ({ response }) => response.end(body);
    socket.write(head('/1') + head('/2') + head('/3'));
    await until(() => served.length === 1);
    await pause(READ_MS);
    expect(served).to.have.length(1);
    expect(reached).to.deep.equal(['unread-responses']);
    socket.resume();
    await until(() => served.length === 3);
  });

  it('passes on bodies that contain the end of a head, and requests behind them, byte for byte', async () => {
    await listen({ pipelinedRequests: 1 });
    const socket = await open();
    const text = received(socket);
    const bodies: string[] = [];
    serve = ({ request, response }) => {
      let body = '';
      request.on('data', (data: Buffer) => {
        body += data.toString('latin1');
      });
      request.on('end', () => {
        bodies.push(body);
        response.end(request.url);
      });
    };
    const sent = [
      '\r\n\r\n'.repeat(100),
      `GET / HTTP/1.1\r\n\r\n`,
      'y'.repeat(300_000),
    ];
    for (const [at, body] of sent.entries()) {
      socket.write(
        `POST /${at} HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      );
      socket.write(
        `POST /${at} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n`,
      );
      for (const part of body.match(/.{1,900}/gsu) ?? []) {
        socket.write(`${part.length.toString(16)}\r\n${part}\r\n`);
      }
      socket.write('0\r\n\r\n');
    }
    await until(() => bodies.length === 6);
    expect(bodies).to.deep.equal(sent.flatMap(body => [body, body]));
    await until(() => bodiesOf(text()).length === 6);
  });

  // Guards against a request behind one whose body the server does not take yet.
  it('goes on when a body is read late', async () => {
    await listen();
    const socket = await open();
    const text = received(socket);
    const body = 'z'.repeat(1_000_000);
    socket.write(
      `POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n${body}${head('/2')}`,
    );
    await until(() => served.length === 1);
    await pause(READ_MS);
    serve = ({ request, response }) => {
      request.resume();
      request.once('end', () => response.end(request.url));
    };
    served.slice().forEach(serve);
    await until(() => bodiesOf(text()).length === 2);
    expect(bodiesOf(text())).to.deep.equal(['/1', '/2']);
  });

  it('closes the oldest connection without a request for a new one, and none with a request', async () => {
    await listen({ connections: 3 });
    const [running, silent, partial] = [
      await open(),
      await open(),
      await open(),
    ];
    running.write(head('/1'));
    partial.write('GET /2 HTTP/1.1\r\n');
    await until(() => served.length === 1);
    const next = await open();
    next.write(head('/3'));
    await until(() => served.length === 2 && silent.destroyed);
    expect([running.destroyed, partial.destroyed]).to.deep.equal([
      false,
      false,
    ]);
    expect(reached).to.deep.equal(['connections']);
  });

  it('closes a new connection if a request runs on all others', async () => {
    await listen({ connections: 2 });
    for (const path of ['/1', '/2']) {
      (await open()).write(head(path));
    }
    await until(() => served.length === 2);
    const next = await open();
    next.resume();
    await until(() => next.destroyed);
    expect(sockets.map(({ destroyed }) => destroyed)).to.deep.equal([
      false,
      false,
      true,
    ]);
  });

  it('limits the connections of an address', async () => {
    await listen({ connectionsPerAddress: 2 });
    const first = await open();
    await open();
    await open();
    await until(() => first.destroyed);
    expect(reached).to.deep.equal(['connections-per-address']);
  });

  // Guards against a refusal that a caller takes for the response to a request that runs.
  it('writes no error response while an earlier request runs', async () => {
    await listen();
    const socket = await open();
    const text = received(socket);
    socket.write(`${head('/1')}no request\r\n\r\n`);
    await until(() => served.length === 1 && socket.destroyed);
    expect(text()).to.equal('');
  });

  it('refuses a request without Host and whatever follows it', async () => {
    await listen();
    const socket = await open();
    const text = received(socket);
    socket.write(`GET /1 HTTP/1.1\r\n\r\n${head('/2')}`);
    await until(() => socket.destroyed);
    expect(text()).to.match(/^HTTP\/1\.1 400 Bad Request\r\n/u);
    expect(text().match(/HTTP\/1\.1/gu)).to.have.length(1);
    expect(served).to.have.length(0);
  });
});
