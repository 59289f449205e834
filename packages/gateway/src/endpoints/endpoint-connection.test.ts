import { setTimeout as pause } from 'node:timers/promises';

import { expect } from 'chai';

import { milliseconds } from '@sesamegrade/core/types/units';
import { ScriptedServer } from '@sesamegrade/stand-ins/deployment/scripted-server';
import { EndpointConnection } from './endpoint-connection';
import type { ExchangeResult } from './endpoint-connection';

const UNFRAMED_HEAD = 'HTTP/1.1 200 OK\r\n\r\n';
/** Time in which an event on the loopback interface has surely arrived. */
const ARRIVAL_MS = 50;

describe('EndpointConnection with a paused response without length', () => {
  let server: ScriptedServer;
  let connection: EndpointConnection;
  let results: ExchangeResult[];

  /** Sends a request whose response is paused by its first bytes. */
  async function receivePaused(
    end: 'reset' | 'close' | 'nothing',
  ): Promise<void> {
    server = await new ScriptedServer((_request, socket) => {
      socket.write(`${UNFRAMED_HEAD}part`);
      setTimeout(() => {
        if (end === 'reset') {
          socket.resetAndDestroy();
        } else if (end === 'close') {
          socket.end();
        }
      }, ARRIVAL_MS);
    }).start();
    const [host = '', port] = server.address.split(':');
    results = [];
    connection = new EndpointConnection(
      { host, port: Number(port) },
      milliseconds(1000),
      () => undefined,
    );
    connection.send(
      { method: 'GET', target: '/', headers: [], body: undefined },
      {
        onSent: () => undefined,
        onHead: () => undefined,
        onData: () => false,
        onEnd: result => results.push(result),
      },
    );
    await pause(ARRIVAL_MS * 3);
  }

  afterEach(async () => {
    connection.destroy();
    await server.stop();
  });

  // Guards against an assertion in undici that ended the router's process.
  it('breaks when the endpoint resets the connection', async () => {
    await receivePaused('reset');
    connection.resume();
    await pause(ARRIVAL_MS);
    expect(results).to.deep.equal([
      { kind: 'broken', cause: 'CONNECTION_RESET' },
    ]);
  });

  // Guards against an aborted response that passes for a complete one.
  it('breaks when it is destroyed', async () => {
    await receivePaused('nothing');
    connection.destroy();
    await pause(ARRIVAL_MS);
    expect(results.map(({ kind }) => kind)).to.deep.equal(['broken']);
  });

  // Guards against the same assertion when the connection ends and nothing is left to read.
  it('ends when the endpoint closes the connection', async () => {
    await receivePaused('close');
    expect(results).to.deep.equal([{ kind: 'complete' }]);
  });
});
