import { connect } from 'node:net';

import { expect } from 'chai';

import { Random } from '@sesamegrade/core/random/random';
import { incarnation, routerId, zoneId } from '@sesamegrade/core/types/ids';
import { SystemTimerService } from '../process/system-timer-service';
import { PeerLink } from './peer-link';
import { PeerProof } from './peer-proof';
import { PeerServer } from './peer-server';
import { SocketMeter } from './socket-meter';

const HOST = '127.0.0.1';
const identityOf = (id: string) => ({
  id: routerId(id),
  incarnation: incarnation(1),
  zone: zoneId('a'),
  address: { host: HOST, port: 1 },
});
const proofOf = (id: string) =>
  new PeerProof({ self: identityOf(id), secret: 's', wallTime: () => 0 });
const identity = identityOf('r1');
const proof = proofOf('r1');

/** Groups of records of streams as routers send them, with names of usual lengths. */
const records = (groups: number, keys: number) =>
  Array.from({ length: groups }, (_group, group) => [
    `service-${group}`.padEnd(16, 'x'),
    `version-${group}`.padEnd(24, 'x'),
    1,
    Array.from({ length: keys }, (_key, key) => `${group}-${key}`.padEnd(15)),
  ]);

describe('PeerServer', () => {
  // Guards against memory for the requests that a client pipelines and whose responses it does not read.
  it('answers one plain request and closes its connection', async () => {
    const server = new PeerServer({
      self: identity,
      proof,
      meter: new SocketMeter(),
      timers: new SystemTimerService(),
      snapshot: () => undefined,
      listener: {
        onSubscribed: () => undefined,
        onUnsubscribed: () => undefined,
      },
    });
    const { port } = await server.listen({ host: HOST, port: 0 });
    const socket = connect({ host: HOST, port });
    let received = '';
    socket.on('data', data => {
      received += data.toString('latin1');
    });
    socket.on('error', () => undefined);
    socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(1000));
    await new Promise(resolve => socket.once('close', resolve));
    await server.close();
    expect(received.match(/HTTP\/1\.1 426/gu)).to.have.length(1);
  });

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

  describe('with a link to it', () => {
    let timers: SystemTimerService;
    let server: PeerServer;
    let link: PeerLink;
    let losses: number;

    beforeEach(async () => {
      timers = new SystemTimerService();
      server = new PeerServer({
        self: identity,
        proof,
        meter: new SocketMeter(),
        timers,
        snapshot: () => undefined,
        origin: query => Promise.resolve(query),
        record: () => Promise.resolve(true),
        listener: {
          onSubscribed: () => undefined,
          onUnsubscribed: () => undefined,
        },
      });
      const address = await server.listen({ host: HOST, port: 0 });
      losses = 0;
      await new Promise<void>(resolve => {
        link = new PeerLink({
          peer: identity.id,
          address,
          proof: proofOf('r2'),
          meter: new SocketMeter(),
          random: new Random(1),
          listener: {
            onConnected: () => {
              resolve();
            },
            onDisconnected: () => {
              losses += 1;
            },
            onGossip: () => undefined,
            onMalformed: () => undefined,
          },
        });
      });
    });

    afterEach(async () => {
      await link.close();
      await server.close();
      timers.stop();
    });

    // Guards against a link that is lost by 1,000 records of streams at 50 versions.
    it('takes the largest number of records at many versions', async () => {
      const origins = records(50, 20);
      expect(await link.requestRecording({ origins })).to.equal(true);
      expect(losses).to.equal(0);
    });

    // Guards against a link that is lost by the queries of one tick, which are sent in one frame.
    it('takes the queries of 1,000 callers who resume at once', async () => {
      const queries = Array.from({ length: 1000 }, (_value, index) => ({
        key: `${index}`.padStart(15, 'k'),
        service: 'service'.padEnd(16, 'x'),
      }));
      const answers = await Promise.all(
        queries.map(query => link.requestOrigin(query)),
      );
      expect(answers).to.deep.equal(queries);
      expect(losses).to.equal(0);
    });
  });
});
