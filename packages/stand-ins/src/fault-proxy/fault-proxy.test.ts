import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

import { expect } from 'chai';

import { FaultProxy } from './fault-proxy';

const GREETING = 'x'.repeat(100);

describe('fault proxy', () => {
  let server: Server;
  let proxy: FaultProxy;
  let receivedByTarget: string;
  let targetSocket: Socket | undefined;

  beforeEach(async () => {
    receivedByTarget = '';
    server = createServer(socket => {
      targetSocket = socket;
      socket.on('error', () => undefined);
      socket.on('data', chunk => {
        receivedByTarget += chunk.toString();
        socket.write(GREETING);
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    proxy = new FaultProxy({ target: { host: '127.0.0.1', port } });
  });

  afterEach(async () => {
    await proxy.stop();
    server.close();
  });

  async function client() {
    const socket = connect(await proxy.start());
    socket.on('error', () => undefined);
    const receivedByClient = { text: '' };
    socket.on('data', chunk => {
      receivedByClient.text += chunk.toString();
    });
    const closed = new Promise(resolve => socket.on('close', resolve));
    return { socket, receivedByClient, closed };
  }

  it('forwards bytes in both directions', async () => {
    const { socket, receivedByClient } = await client();
    socket.write('hello');
    await once(socket, 'data');
    expect([receivedByTarget, receivedByClient.text]).to.deep.equal([
      'hello',
      GREETING,
    ]);
  });

  it('resets a connection after the given number of bytes to the client', async () => {
    proxy.setFault({ cutAfterBytes: 40 });
    const { socket, receivedByClient, closed } = await client();
    socket.write('hello');
    await closed;
    expect(receivedByClient.text).to.have.length.at.most(40);
    expect(receivedByTarget).to.equal('hello');
  });

  it('buffers bytes until a stall is cleared', async () => {
    proxy.setFault({ stall: true });
    const { socket, receivedByClient } = await client();
    socket.write('hello');
    await new Promise(resolve => setTimeout(resolve, 50));
    expect([receivedByTarget, receivedByClient.text]).to.deep.equal(['', '']);
    proxy.setFault();
    await once(socket, 'data');
    expect(receivedByClient.text).to.equal(GREETING);
  });

  it('buffers the bytes of one direction, and holds back that it closed', async () => {
    proxy.setFault({ stall: 'to-client' });
    const { socket, receivedByClient, closed } = await client();
    let isClosed = false;
    socket.on('close', () => (isClosed = true));
    socket.write('hello');
    while (receivedByTarget === '') {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    targetSocket?.resetAndDestroy();
    await new Promise(resolve => setTimeout(resolve, 30));
    expect([receivedByClient.text, isClosed]).to.deep.equal(['', false]);
    proxy.setFault();
    await closed;
  });

  it('discards the bytes of one direction only', async () => {
    proxy.setFault({ drop: 'to-client' });
    const { socket, receivedByClient } = await client();
    socket.write('hello');
    while (receivedByTarget === '') {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    await new Promise(resolve => setTimeout(resolve, 30));
    expect(receivedByClient.text).to.equal('');
  });

  it('resets open connections and refuses new ones', async () => {
    const { socket, closed } = await client();
    socket.write('hello');
    await once(socket, 'data');
    proxy.setFault({ reset: true, refuse: true });
    await closed;
    expect(proxy.accepted).to.equal(1);
  });
});
