import type { AddressInfo } from 'node:net';

import { encode } from '@msgpack/msgpack';
import { expect } from 'chai';
import fc from 'fast-check';
import { WebSocketServer } from 'ws';
import type { WebSocket } from 'ws';

import { Random } from '@sesamegrade/core/random/random';
import { incarnation, routerId, zoneId } from '@sesamegrade/core/types/ids';
import { decodeFrame, isSoundAnswer } from './peer-frame';
import { PeerLink } from './peer-link';
import { PeerProof } from './peer-proof';
import { SocketMeter } from './socket-meter';

const HOST = '127.0.0.1';
const LARGE_LIST = [0xdd, 0x01, 0xff, 0xff, 0xff];
const NESTED_LISTS = Buffer.from(new Array(40).fill(LARGE_LIST).flat());

const FRAMES: readonly (string | Uint8Array)[] = [
  'text',
  '{"id":1,"result":{"type":"data"}}',
  Uint8Array.of(),
  Uint8Array.of(0xc1),
  Uint8Array.of(0x92, 0x01),
  // A map with the key __proto__, which the library refuses.
  Buffer.concat([Buffer.of(0x81), encode('__proto__'), encode(1)]),
  NESTED_LISTS,
  Buffer.alloc(100_000, 0x91),
  ...[
    null,
    7,
    [],
    {},
    { id: 1 },
    { id: 1, result: null },
    { id: 1, result: 'x' },
    { id: 1, result: { type: 'data', data: null } },
    { id: 1, result: { type: 'data', data: { h: [1e308, -1], t: [] } } },
    { id: 1, error: null },
    { id: 1, error: { code: 'x' } },
    { id: null, error: 5 },
    { id: [], result: { type: 'started' } },
    { method: 5 },
  ].map(message => encode(message)),
];

const identity = {
  id: routerId('r1'),
  incarnation: incarnation(1),
  zone: zoneId('a'),
  address: { host: HOST, port: 1 },
};
const proof = new PeerProof({ self: identity, secret: 's', wallTime: () => 0 });

async function listenAs(onConnected: (socket: WebSocket) => void) {
  const server = new WebSocketServer({ host: HOST, port: 0 });
  server.on('connection', socket => {
    socket.on('error', () => undefined);
    socket.once('message', () => {
      onConnected(socket);
    });
  });
  await new Promise(resolve => server.once('listening', resolve));
  return { server, port: (server.address() as AddressInfo).port };
}

describe('frames of a peer', () => {
  // Guards against a frame that is thrown out of a socket's listener and ends the router.
  it('that are malformed are reported, and the link connects again', async () => {
    let sent = 0;
    const { server, port } = await listenAs(socket => {
      const frame = FRAMES[sent];
      sent += 1;
      if (frame !== undefined) {
        socket.send(frame);
        socket.send(encode({ id: 1, result: { type: 'data', data: 'next' } }));
      }
    });
    const reports: string[] = [];
    const link = new PeerLink({
      peer: routerId('r2'),
      address: { host: HOST, port },
      proof,
      meter: new SocketMeter(),
      random: new Random(1),
      listener: {
        onConnected: () => undefined,
        onDisconnected: () => undefined,
        onGossip: () => undefined,
        onMalformed: peer => {
          reports.push(peer);
          link.reset();
        },
      },
    });
    while (sent <= FRAMES.length) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    expect(reports.length).to.be.at.least(FRAMES.length);
    await link.close();
    server.close();
  });

  // Guards against a small frame that claims lists of any length, or nests them.
  it('are refused if they claim more than they hold, or nest too deep', () => {
    for (const frame of [NESTED_LISTS, Buffer.alloc(100_000, 0x91)]) {
      expect(() => decodeFrame(frame)).to.throw('frame');
    }
    expect(() => decodeFrame(Buffer.concat([encode(1), encode(2)]))).to.throw();
    const empties = Buffer.alloc(1_000_000, 0x80);
    empties.set([0xdd, 0x00, 0x0f, 0x42, 0x3b]);
    expect(() => decodeFrame(empties)).to.throw('frame');
  });

  // Guards against a link that is reset by the answer of a procedure that returns nothing.
  it('are answers of tRPC in each of its forms', () => {
    const answers = [
      { id: 1, result: { type: 'data' } },
      { id: 1, result: { type: 'data', data: null } },
      { id: 'a', result: { type: 'data', id: 'e', data: {} } },
      { id: 1, result: { data: 1 } },
      { id: 1, result: { type: 'started' } },
      { id: 1, result: { type: 'stopped' } },
      { id: null, error: { code: -32_600, message: 'm', data: {} } },
      { id: null, method: 'reconnect' },
    ];
    for (const answer of answers) {
      expect(isSoundAnswer(answer), JSON.stringify(answer)).to.equal(true);
    }
  });

  it('are decoded if they are sound, and never throw out of the check of answers', () => {
    const leaf = fc.oneof(
      fc.string(),
      fc.string({ minLength: 32, maxLength: 400 }),
      fc.integer(),
      fc.maxSafeInteger(),
      fc.double({ noNaN: true }),
      fc.boolean(),
      fc.constant(null),
      fc.uint8Array(),
    );
    const key = fc.string().filter(text => text !== '__proto__');
    const { value } = fc.letrec(tie => ({
      value: fc.oneof(
        { maxDepth: 5 },
        leaf,
        fc.array(tie('value'), { maxLength: 20 }),
        fc.dictionary(key, tie('value'), { maxKeys: 20 }),
      ),
    }));
    fc.assert(
      fc.property(value, message => {
        const decoded = decodeFrame(encode(message));
        expect(encode(decoded)).to.deep.equal(encode(message));
        expect(isSoundAnswer(decoded)).to.be.a('boolean');
      }),
      { seed: 1, numRuns: 500 },
    );
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 60 }), bytes => {
        try {
          decodeFrame(bytes);
        } catch (error) {
          expect(error).to.be.instanceOf(Error);
        }
      }),
      { seed: 1, numRuns: 5000 },
    );
  });
});
