import { expect } from 'chai';

import type { RouterIdentity } from '@sesamegrade/core/membership/router-table';
import { incarnation, routerId, zoneId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import { PeerProof } from '@sesamegrade/router/peers/peer-proof';
import { ScriptedServer } from '@sesamegrade/stand-ins/deployment/scripted-server';
import type { EndpointSocket } from '../endpoints/endpoint-dialer';
import { TunnelClient, TunnelRefusedError } from './tunnel-client';
import { TunnelStatus } from './tunnel-server';

const ENDPOINT = { host: '127.0.0.1', port: 1 };
const ESTABLISHED = 'HTTP/1.1 200 Established\r\n';

const identity = (name: string, port: number): RouterIdentity => ({
  id: routerId(name),
  incarnation: incarnation(1),
  zone: zoneId('z'),
  address: { host: '127.0.0.1', port },
  power: 1,
});

describe('TunnelClient', () => {
  let peer: ScriptedServer;

  afterEach(async () => {
    await peer.stop();
  });

  /** Resolves with the failure if the peer's answer establishes no tunnel. */
  async function dial(answer: string): Promise<EndpointSocket | Error> {
    peer = await new ScriptedServer((_request, socket) => {
      socket.end(answer, 'latin1');
    }).start();
    const port = Number(peer.address.split(':')[1]);
    const proof = new PeerProof({
      self: identity('self', 1),
      secret: 'secret',
      wallTime: () => Date.now(),
    });
    return new Promise(resolve => {
      new TunnelClient(proof).dial(
        identity('peer', port),
        ENDPOINT,
        milliseconds(1000),
        result => {
          resolve(result.ok ? result.value : result.failure);
        },
      );
    });
  }

  const malformed = [
    ...['000', '001', '099', '100', '101', '199', '0200', '20', '20x'],
    ...['2 00', '600', '999', '1000', '204', '299'],
  ].map(status => `HTTP/1.1 ${status} Established\r\n\r\n`);
  const fields = [
    ...['X Y: v', 'X\t: v', 'X\x01: v', 'X\0: v', 'X\x7f: v', 'X\xe9: v'],
    ...['X : v', ': v', 'X', 'X: \0', 'X: a\rb', 'X: a\nb', 'X: \x7f'],
  ].map(field => `${ESTABLISHED}${field}\r\n\r\n`);
  for (const answer of [...malformed, ...fields]) {
    // Guards against a malformed answer of a peer that counts as a tunnel, or as the end of the endpoint.
    it(`takes no tunnel from ${JSON.stringify(answer)}`, async () => {
      const result = await dial(answer);
      expect(result).to.be.instanceOf(Error);
      const status =
        result instanceof TunnelRefusedError ? result.status : undefined;
      expect(Object.values(TunnelStatus)).not.to.include(status);
    });
  }

  // Guards against bytes behind the head that are lost or taken for a part of it.
  it('hands on what follows the head of the answer', async () => {
    const result = await dial(`${ESTABLISHED}\r\nX Y: v\r\n\r\n`);
    if (result instanceof Error) {
      throw result;
    }
    const { socket } = result;
    const first = await new Promise(resolve => {
      socket.once('data', resolve);
    });
    socket.destroy();
    expect(String(first)).to.equal('X Y: v\r\n\r\n');
  });
});
