import type { Socket } from 'node:net';

import { expect } from 'chai';

import { StreamSequencer } from '@sesamegrade/core/streams/stream-sequencer';
import { attemptId, endpointId, teamId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import {
  event,
  ScriptedServer,
} from '@sesamegrade/stand-ins/deployment/scripted-server';
import type { Exchange } from '../dispatch/exchange';
import { EndpointClient } from './endpoint-client';
import { StreamRelay } from './stream-relay';
import { StreamTags } from './stream-tags';

const TIMEOUT = milliseconds(2000);
const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n';
/** More than the largest event and the system's socket buffers of one connection. */
const MAX_SENT_BYTES = 24 * 1_048_576;

describe('StreamRelay', () => {
  /** Relays what the endpoint sends; returns the result and the delivered text. */
  async function relay(send: (socket: Socket) => void) {
    const server = await new ScriptedServer((_request, socket) => {
      socket.write(HEAD);
      send(socket);
    }).start();
    const client = new EndpointClient({
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
    let text = '';
    const exchange = {
      request: { team: teamId('team-1') },
      shape: { kind: 'stream', sequencer: new StreamSequencer() },
      callerResponse: {
        hasBegun: true,
        write: (part: string) => {
          text += part;
          return 'open';
        },
        end: () => undefined,
      },
    };
    const result = await new StreamRelay({
      tags: new StreamTags({ secret: 'secret' }),
    }).forward({
      exchange: exchange as unknown as Exchange,
      attempt: attemptId('a-1'),
      endpoint: endpointId('s-1'),
      response: sent.response,
      onDelivered: () => undefined,
    });
    sent.response.body.on('error', () => undefined).destroy();
    await client.close();
    await server.stop();
    return { result, text };
  }

  it('takes the end of the connection for the end of the stream only after the last event', async () => {
    const cut = await relay(socket =>
      socket.end(event(1) + 'id: 2\ndata: [DO'),
    );
    expect(cut.result.kind).to.equal('broken');
    expect(cut.text).to.match(/event 1\n\n$/u);
    const whole = await relay(socket =>
      socket.end(event(1) + event(2, '[DONE]')),
    );
    expect(whole.result.kind).to.equal('finished');
  });

  // Guards against an endpoint that fills the router's memory with one event.
  it('breaks off a stream with an event without end', async () => {
    let sentBytes = 0;
    const { result } = await relay(socket => {
      const send = () => {
        sentBytes = socket.bytesWritten;
        while (!socket.destroyed && socket.write('x'.repeat(65_536)));
      };
      socket.on('drain', send);
      send();
    });
    expect(result.kind).to.equal('broken');
    expect(sentBytes).to.be.below(MAX_SENT_BYTES);
  });
});
