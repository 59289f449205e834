import { connect } from 'node:net';

import { incarnation, routerId, zoneId } from '@sesamegrade/core/types/ids';
import { SystemTimerService } from '../process/system-timer-service';
import { PeerProof } from './peer-proof';
import { PeerServer } from './peer-server';
import { SocketMeter } from './socket-meter';

const HOST = '127.0.0.1';
const identity = {
  id: routerId('r1'),
  incarnation: incarnation(1),
  zone: zoneId('a'),
  address: { host: HOST, port: 1 },
};
const proof = new PeerProof({ self: identity, secret: 's', wallTime: () => 0 });

describe('PeerServer', () => {
  // Guards against an upgrade request whose host is no URL, which tRPC throws out of a listener.
  it('lives on after requests whose host or target is malformed', async () => {
    const timers = new SystemTimerService();
    const server = new PeerServer({
      self: identity,
      proof,
      meter: new SocketMeter(),
      timers,
      snapshot: () => undefined,
      listener: {
        onSubscribed: () => undefined,
        onUnsubscribed: () => undefined,
      },
    });
    const { port } = await server.listen({ host: HOST, port: 0 });
    for (const [target, host] of [
      ['/', '['],
      ['/', 'a b'],
      ['//[', 'x'],
      ['http://[', 'x'],
      ['/', ''],
    ]) {
      const socket = connect({ host: HOST, port });
      socket.on('error', () => undefined);
      socket.write(
        `GET ${target} HTTP/1.1\r\nHost: ${host}\r\nConnection: Upgrade\r\n` +
          'Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n' +
          'Sec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n\r\n',
      );
      await new Promise(resolve => socket.once('data', resolve));
      socket.destroy();
    }
    await server.close();
    timers.stop();
  });
});
