import { expect } from 'chai';

import { attemptId, endpointId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import { ScriptedServer } from '@sesamegrade/stand-ins/deployment/scripted-server';
import type { Exchange } from '../dispatch/exchange';
import { BufferedRelay } from './buffered-relay';
import { EndpointClient } from './endpoint-client';
import type { RelayResult } from './response-relay';

const TIMEOUT = milliseconds(2000);

describe('BufferedRelay', () => {
  let server: ScriptedServer;
  let client: EndpointClient;

  afterEach(async () => {
    await client.close();
    await server.stop();
  });

  /** Relays a response that the endpoint sends before it ends the connection. */
  async function relay(
    bytes: string,
    ending: 'close' | 'reset',
  ): Promise<RelayResult> {
    server = await new ScriptedServer((_request, socket) => {
      socket.write(bytes);
      setImmediate(() => {
        if (ending === 'close') {
          socket.end();
        } else {
          socket.resetAndDestroy();
        }
      });
    }).start();
    client = new EndpointClient({
      connectTimeout: TIMEOUT,
      firstByteTimeout: TIMEOUT,
      stallTimeout: TIMEOUT,
    });
    const [host = '', port] = server.address.split(':');
    const sent = await client.send(
      { host, port: Number(port) },
      { method: 'GET', path: '/', headers: {}, body: undefined },
      new AbortController().signal,
    );
    if (sent.kind === 'failed') {
      throw new Error(sent.failure.kind);
    }
    const caller = { callerResponse: { isDisconnected: true } };
    return new BufferedRelay({
      maxResponseBytes: 1000,
      onResponse: () => undefined,
    }).forward({
      exchange: caller as unknown as Exchange,
      attempt: attemptId('a-1'),
      endpoint: endpointId('s-1'),
      response: sent.response,
      onDelivered: () => undefined,
    });
  }

  // Guards against a response that is recorded and sent with a length that the endpoint never announced.
  for (const ending of ['close', 'reset'] as const) {
    it(`takes no response for complete whose end only a ${ending} of the connection marks`, async () => {
      const result = await relay('HTTP/1.1 200 OK\r\n\r\npart', ending);
      expect(result.kind).to.equal('broken');
    });
  }

  it('takes a response with a length, with chunks or without content', async () => {
    for (const bytes of [
      'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart',
      'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n',
      'HTTP/1.1 204 No Content\r\n\r\n',
    ]) {
      const result = await relay(bytes, 'close');
      expect(result.kind, bytes).to.equal('finished');
      await client.close();
      await server.stop();
    }
  });
});
