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
  it('serves no request after one whose response closes the connection', async () => {
    server.startDraining();
    socket.write(`GET /1 ${HEAD}GET /2 ${HEAD}`);
    await until(() => served.length > 0);
    for (const exchange of served) {
      exchange.refuse({ status: 503, headers: [], body: '' });
    }
    await until(() => server.connectionCount === 0);
    expect(served.map(({ target }) => target)).to.deep.equal(['/1']);
    expect(server.openExchangeCount).to.equal(0);
  });
});
