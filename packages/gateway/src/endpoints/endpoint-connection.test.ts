import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import { expect } from 'chai';

import { instant, milliseconds } from '@sesamegrade/core/types/units';
import { ScriptedServer } from '@sesamegrade/stand-ins/deployment/scripted-server';
import { RequestBody } from '../callers/request-body';
import { EndpointConnection } from './endpoint-connection';
import { DirectDialer } from './endpoint-dialer';
import type { DialCallback, Dialing, DialRequest } from './endpoint-dialer';
import type { ExchangeResult } from './endpoint-connection';

const UNFRAMED_HEAD = 'HTTP/1.1 200 OK\r\n\r\n';
const POLL_MS = 5;

/** Waits for the condition; the test runner's timeout ends a wait that never succeeds. */
async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await pause(POLL_MS);
  }
}

describe('EndpointConnection with a paused response without length', () => {
  let server: ScriptedServer;
  let connection: EndpointConnection;
  let results: ExchangeResult[];

  /** Sends a request whose response is paused by its first bytes. */
  async function receivePaused(): Promise<Socket> {
    let endpointSocket: Socket | undefined;
    server = await new ScriptedServer((_request, socket) => {
      endpointSocket = socket;
      socket.write(`${UNFRAMED_HEAD}part`);
    }).start();
    const [host = '', port] = server.address.split(':');
    results = [];
    let hasData = false;
    connection = new EndpointConnection(
      { host, port: Number(port) },
      milliseconds(1000),
      new DirectDialer(),
      () => undefined,
    );
    connection.send(
      { method: 'GET', target: '/', headers: [], body: undefined },
      {
        onSent: () => undefined,
        onHead: () => undefined,
        onData: () => {
          hasData = true;
          return false;
        },
        onEnd: result => results.push(result),
      },
    );
    await until(() => hasData);
    if (!endpointSocket) {
      throw new Error('the endpoint got no request');
    }
    return endpointSocket;
  }

  afterEach(async () => {
    connection.destroy();
    await server.stop();
  });

  // Guards against an assertion in undici that ended the router's process.
  it('breaks when the endpoint resets the connection', async () => {
    const endpoint = await receivePaused();
    endpoint.resetAndDestroy();
    await until(() => results.length > 0);
    expect(results).to.deep.equal([
      { kind: 'broken', cause: 'CONNECTION_RESET' },
    ]);
  });

  // Guards against an aborted response that passes for a complete one.
  it('breaks when it is destroyed', async () => {
    await receivePaused();
    connection.destroy();
    await until(() => results.length > 0);
    expect(results.map(({ kind }) => kind)).to.deep.equal(['broken']);
  });

  // Guards against the same assertion when the connection ends and nothing is left to read.
  it('ends when the endpoint closes the connection', async () => {
    const endpoint = await receivePaused();
    endpoint.end();
    await until(() => results.length > 0);
    expect(results).to.deep.equal([{ kind: 'complete' }]);
  });
});

describe('EndpointConnection after a response that closes it', () => {
  // Guards against a request that is refused as not connected because it took a connection in the turn in which that closes.
  it('is not reusable in the turn in which the response ends', async () => {
    const server = await new ScriptedServer((_request, socket) => {
      socket.write(
        'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok',
      );
    }).start();
    const [host = '', port] = server.address.split(':');
    const connection = new EndpointConnection(
      { host, port: Number(port) },
      milliseconds(1000),
      new DirectDialer(),
      () => undefined,
    );
    await new Promise<void>(resolve => {
      connection.send(
        { method: 'GET', target: '/', headers: [], body: undefined },
        {
          onSent: () => undefined,
          onHead: () => undefined,
          onData: () => true,
          onEnd: () => {
            connection.markIdle(instant(0), undefined);
            resolve();
          },
        },
      );
    });
    expect(connection.isReusable(instant(0), milliseconds(1000))).to.equal(
      false,
    );
    connection.destroy();
    await server.stop();
  });
});

/** Connects by sockets whose writes never end. */
class StuckDialer extends DirectDialer {
  override dial(request: DialRequest, callback: DialCallback): Dialing {
    return super.dial(request, result => {
      if (result.ok) {
        result.value.socket._write = () => undefined;
        result.value.socket._writev = () => undefined;
      }
      callback(result);
    });
  }
}

describe('EndpointConnection that ends while its request is written', () => {
  const account = {
    onReleasable: () => undefined,
    onNeeded: () => undefined,
    onReleased: () => undefined,
  };

  for (const length of [1000, 200_000]) {
    // Guards against an end that counts as regular while the write that would fail is in progress, also of a body written at once.
    it(`tells so for a body of ${length} bytes`, async () => {
      const server = createServer(socket => {
        socket.on('error', () => undefined);
        socket.end(`${UNFRAMED_HEAD}part`);
      });
      await new Promise<void>(resolve => {
        server.listen(0, '127.0.0.1', resolve);
      });
      const { port } = server.address() as AddressInfo;
      const connection = new EndpointConnection(
        { host: '127.0.0.1', port },
        milliseconds(1000),
        new StuckDialer(),
        () => undefined,
      );
      const result = await new Promise<ExchangeResult>(resolve => {
        connection.send(
          {
            method: 'POST',
            target: '/',
            headers: [],
            body: new RequestBody(Buffer.alloc(length), account),
          },
          {
            onSent: () => undefined,
            onHead: () => undefined,
            onData: () => true,
            onEnd: resolve,
          },
        );
      });
      connection.destroy();
      server.close();
      expect(result.kind).to.equal('ended-early');
      expect(result).to.have.property('unwrittenBytes').that.is.least(length);
    });
  }
});
