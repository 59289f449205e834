import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import { expect } from 'chai';

import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import { seconds } from '@sesamegrade/core/types/units';
import { callerLimitsSchema } from '@sesamegrade/settings/gateway-schema';
import type { Forwarder } from '../forwarding/forwarder';
import type { DecisionLog } from '../logs/decision-log';
import type { GatewayMetrics } from '../metrics/gateway-metrics';
import type { BodyResult } from './caller-exchange';
import { GatewayCallerServer } from './gateway-caller-server';

const MAX_BODY_BYTES = 100_000;
const MEMORY_BYTES = 50_000;
const WAIT_LIMIT_MS = 10_000;
const HEAD = 'POST / HTTP/1.1\r\nHost: h\r\n';
const CHUNKED_HEAD = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
const chunkOf = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

describe('GatewayCallerServer with bodies that are not complete', () => {
  let server: GatewayCallerServer;
  let timers: ManualTimerService;
  let sockets: Socket[];
  let results: BodyResult[];
  let limits: unknown[];
  let lines: unknown[];

  beforeEach(() => {
    sockets = [];
    results = [];
    limits = [];
    lines = [];
    timers = new ManualTimerService();
    const forwarder: Pick<Forwarder, 'serve'> = {
      serve: async exchange => {
        const result = await exchange.readBody(MAX_BODY_BYTES, seconds(1));
        results.push(result);
        if (result.kind === 'complete') {
          exchange.refuse({ status: 404, headers: [], body: 'read' });
        }
      },
    };
    const log: Pick<DecisionLog, 'write'> = {
      write: (kind, fields) => lines.push({ kind, ...fields }),
    };
    const metrics: Pick<GatewayMetrics, 'recordLimit'> = {
      recordLimit: (name, limit) => limits.push([name, limit]),
    };
    server = new GatewayCallerServer({
      forwarder: forwarder as Forwarder,
      log: log as DecisionLog,
      timers,
      backgroundTasks: new BackgroundTasks(({ error }) => {
        throw error;
      }),
      settings: {
        caller_limits: callerLimitsSchema.parse({
          incomplete_body_bytes: MEMORY_BYTES,
        }),
      },
      gatewayMetrics: metrics,
    });
  });

  afterEach(() => {
    sockets.forEach(socket => socket.destroy());
    server.close();
  });

  async function open(): Promise<{ socket: Socket; text: () => string }> {
    const address =
      sockets.length === 0
        ? await server.listen({ host: '127.0.0.1', port: 0 })
        : { host: '127.0.0.1', port: sockets[0]?.remotePort ?? 0 };
    const socket = connect(address);
    let text = '';
    socket.on('error', () => undefined);
    socket.on('data', data => {
      text += data.toString('latin1');
    });
    sockets.push(socket);
    return { socket, text: () => text };
  }

  async function until(condition: () => boolean): Promise<void> {
    const end = Date.now() + WAIT_LIMIT_MS;
    while (!condition() && Date.now() < end) {
      await pause(5);
    }
    expect(condition(), String(condition)).to.equal(true);
  }

  it('reads a body byte for byte, in chunks of one byte and of any other size', async () => {
    const { socket, text } = await open();
    const bodies = ['0123456789'.repeat(500), 'x'.repeat(MAX_BODY_BYTES), ''];
    socket.write(CHUNKED_HEAD);
    socket.write(Array.from(bodies[0]!, digit => chunkOf(digit)).join(''));
    socket.write('0\r\n\r\n');
    await until(() => results.length === 1);
    socket.write(`${HEAD}Content-Length: ${MAX_BODY_BYTES}\r\n\r\n`);
    for (let at = 0; at < MAX_BODY_BYTES; at += 30_000) {
      socket.write(bodies[1]!.slice(at, at + 30_000));
      await pause(10);
    }
    socket.write(`${HEAD}Content-Length: 0\r\n\r\n`);
    await until(() => results.length === 3);
    expect(
      results.map(result =>
        result.kind === 'complete' ? result.body.bytes.toString() : result.kind,
      ),
    ).to.deep.equal(bodies);
    await until(() => text().match(/404 Not Found/gu)?.length === 3);
    expect(limits).to.deep.equal([]);
  });

  // Guards against bodies that stay short of their end and use up the memory of the router.
  it('refuses the body that has stalled for longest when the memory is used up', async () => {
    const stalled = await open();
    stalled.socket.write(CHUNKED_HEAD + chunkOf('a'.repeat(30_000)));
    await pause(100);
    const { socket, text } = await open();
    socket.write(CHUNKED_HEAD + chunkOf('b'.repeat(40_000)));
    await until(() => stalled.text().includes('503'));
    expect(stalled.text()).to.match(/^HTTP\/1\.1 503 .*retry-after: 1\r\n/su);
    expect(stalled.text()).to.match(/^connection: close\r$/mu);
    expect(results).to.deep.equal([{ kind: 'truncated' }]);
    socket.write('0\r\n\r\n');
    await until(() => text().includes('404'));
    expect(limits).to.deep.equal([['callers', 'incomplete-bodies']]);
    expect(lines).to.deep.include({
      kind: 'client-limit',
      server: 'callers',
      limit: 'incomplete-bodies',
      address: '127.0.0.1',
    });
  });

  // Guards against a request that is refused as not run and runs later, when its body is complete.
  it('refuses a body that is not complete in time, for good', async () => {
    const { socket, text } = await open();
    socket.write(CHUNKED_HEAD + chunkOf('slow'));
    await until(() => server.openExchangeCount === 1);
    timers.advance(seconds(29));
    socket.write(chunkOf('slow'));
    await pause(50);
    expect(limits).to.deep.equal([]);
    timers.advance(seconds(2));
    await until(() => text().includes('503'));
    socket.write('0\r\n\r\n');
    await until(() => server.openExchangeCount === 0);
    expect(results).to.deep.equal([{ kind: 'truncated' }]);
    expect(limits).to.deep.equal([['callers', 'body-time']]);
  });
});
