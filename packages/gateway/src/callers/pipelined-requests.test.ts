import { connect } from 'node:net';
import type { Socket } from 'node:net';

import { expect } from 'chai';

import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import type { Forwarder } from '../forwarding/forwarder';
import type { DecisionLog } from '../logs/decision-log';
import type { CallerExchange } from './caller-exchange';
import { GatewayCallerServer } from './gateway-caller-server';

const POLL_MS = 10;
/** Time in which the server reads a request. */
const READ_MS = 100;
/** More than the system buffers for a caller that does not read. */
const BODY_BYTES = 32_000_000;
const HEAD = 'HTTP/1.1\r\nHost: h\r\n\r\n';

describe('GatewayCallerServer with pipelined requests', () => {
  let server: GatewayCallerServer;
  let socket: Socket;
  let served: CallerExchange[];

  const until = async (condition: () => boolean) => {
    while (!condition()) {
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  };

  beforeEach(async () => {
    served = [];
    const forwarder: Pick<Forwarder, 'serve'> = {
      serve: exchange => {
        served.push(exchange);
        return Promise.resolve();
      },
    };
    const log: Pick<DecisionLog, 'write'> = { write: () => undefined };
    server = new GatewayCallerServer({
      forwarder: forwarder as Forwarder,
      log: log as DecisionLog,
      timers: new ManualTimerService(),
      backgroundTasks: new BackgroundTasks(({ error }) => {
        throw error;
      }),
    });
    const { host, port } = await server.listen({ host: '127.0.0.1', port: 0 });
    socket = connect({ host, port });
    socket.on('error', () => undefined);
    socket.resume();
  });

  afterEach(() => {
    socket.destroy();
    server.close();
  });

  // Guards against a planned stop that waits for callers that have left.
  it('counts no request of a caller that has left', async () => {
    socket.write(`GET /1 ${HEAD}GET /2 ${HEAD}`);
    await until(() => served.length === 2);
    socket.destroy();
    await until(() => server.connectionCount === 0);
    expect(server.openExchangeCount).to.equal(0);
  });

  // Guards against a request that runs, and whose caller never gets its response.
  it('closes a connection that drains with the response to its last request', async () => {
    let received = '';
    socket.on('data', data => {
      received += data.toString('latin1');
    });
    server.startDraining();
    socket.write(`GET /1 ${HEAD}GET /2 ${HEAD}`);
    await until(() => served.length === 2);
    for (const exchange of served) {
      exchange.refuse({ status: 503, headers: [], body: exchange.target });
    }
    await until(() => server.connectionCount === 0);
    expect(received.match(/HTTP\/1\.1 503/gu)).to.have.length(2);
    expect(received.match(/^connection: close/gmu)).to.have.length(1);
    expect(received).to.match(/\/2$/u);
    expect(server.openExchangeCount).to.equal(0);
  });

  // Guards against a response that is cut off as its connection counts as idle before it is sent.
  it('closes no connection on which a response is not sent to its end', async () => {
    let received = 0;
    socket.pause();
    socket.on('data', data => {
      received += data.length;
    });
    socket.pause();
    socket.write(`GET /1 ${HEAD}`);
    await until(() => served.length === 1);
    const body = 'x'.repeat(BODY_BYTES);
    served[0]?.refuse({ status: 503, headers: [], body });
    server.closeIdleConnections();
    socket.resume();
    await until(() => received > BODY_BYTES || socket.destroyed);
    expect(received).to.be.greaterThan(BODY_BYTES);
    await until(() => server.openExchangeCount === 0);
    server.closeIdleConnections();
    await until(() => server.connectionCount === 0);
  });

  // Guards against the same for a request behind one whose response is not sent yet.
  it('closes no connection on which a request waits behind another response', async () => {
    let received = 0;
    socket.on('data', data => {
      received += data.length;
    });
    socket.pause();
    socket.write(`GET /1 ${HEAD}GET /2 ${HEAD}`);
    await until(() => served.length === 2);
    const body = 'x'.repeat(BODY_BYTES);
    served[0]?.refuse({ status: 503, headers: [], body });
    server.closeIdleConnections();
    socket.resume();
    await until(() => received > BODY_BYTES || socket.destroyed);
    server.closeIdleConnections();
    served[1]?.refuse({ status: 503, headers: [], body });
    await until(() => received > 2 * BODY_BYTES || socket.destroyed);
    expect(received).to.be.greaterThan(2 * BODY_BYTES);
  });

  // Guards against the same if the request comes while the response that closes its connection is written.
  it('serves no request after one whose response closes the connection', async () => {
    server.startDraining();
    socket.pause();
    socket.write(`GET /1 ${HEAD}`);
    await until(() => served.length === 1);
    const body = 'x'.repeat(BODY_BYTES);
    served[0]?.refuse({ status: 503, headers: [], body });
    socket.write(`GET /2 ${HEAD}`);
    await new Promise(resolve => setTimeout(resolve, READ_MS));
    socket.resume();
    await until(() => server.connectionCount === 0);
    expect(served).to.have.length(1);
    expect(server.openExchangeCount).to.equal(0);
  });
});
