import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';

import { expect } from 'chai';

import { FaultProxy } from './fault-proxy';

const GREETING = 'x'.repeat(100);

describe('fault proxy', () => {
  let server: Server;
  let proxy: FaultProxy;
  let received: string;

  beforeEach(async () => {
    received = '';
    server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.on('data', chunk => {
        received += chunk.toString();
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
    const got = { text: '' };
    socket.on('data', chunk => {
      got.text += chunk.toString();
    });
    const closed = new Promise(resolve => socket.on('close', resolve));
    return { socket, got, closed };
  }

  it('relays both ways', async () => {
    const { socket, got } = await client();
    socket.write('hello');
    await once(socket, 'data');
    expect([received, got.text]).to.deep.equal(['hello', GREETING]);
  });

  it('cuts a connection after the given bytes', async () => {
    proxy.setFault({ cutAfterBytes: 40 });
    const { socket, got, closed } = await client();
    socket.write('hello');
    await closed;
    expect(got.text).to.have.length.at.most(40);
    expect(received).to.equal('hello');
  });

  it('holds bytes back until a stall is cleared', async () => {
    proxy.setFault({ stall: true });
    const { socket, got } = await client();
    socket.write('hello');
    await new Promise(resolve => setTimeout(resolve, 50));
    expect([received, got.text]).to.deep.equal(['', '']);
    proxy.setFault();
    await once(socket, 'data');
    expect(got.text).to.equal(GREETING);
  });

  it('drops one direction only', async () => {
    proxy.setFault({ drop: 'to-client' });
    const { socket, got } = await client();
    socket.write('hello');
    while (received === '') {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    await new Promise(resolve => setTimeout(resolve, 30));
    expect(got.text).to.equal('');
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
