import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';

import { expect } from 'chai';

import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import type { Forwarder } from '../forwarding/forwarder';
import type { DecisionLog } from '../logs/decision-log';
import { GatewayCallerServer } from './gateway-caller-server';

/** More than the system buffers for a caller that does not read. */
const BODY_BYTES = 32_000_000;

describe('GatewayCallerServer', () => {
  let server: GatewayCallerServer;
  let socket: Socket;

  afterEach(() => {
    socket.destroy();
    server.close();
  });

  // Guards against a planned stop that cuts off complete responses to slow callers.
  it('counts a request until the whole of its response is written', async () => {
    let served = 0;
    const forwarder: Pick<Forwarder, 'serve'> = {
      serve: exchange => {
        exchange.refuse({
          status: 503,
          headers: [],
          body: 'x'.repeat(BODY_BYTES),
        });
        served += 1;
        return Promise.resolve();
      },
    };
    const lines: unknown[] = [];
    const log: Pick<DecisionLog, 'write'> = {
      write: (kind, fields) => lines.push({ kind, ...fields }),
    };
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
    socket.write('GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n');
    while (served === 0) {
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    expect(server.openExchangeCount).to.equal(1);
    server.logUnfinished();
    expect(lines).to.have.length(1);
    expect(lines[0]).to.deep.include({
      kind: 'unfinished',
      waitsFor: 'caller',
    });
    let received = 0;
    socket.on('data', data => {
      received += data.length;
    });
    await once(socket, 'close');
    expect(received).to.be.greaterThan(BODY_BYTES);
    expect(server.openExchangeCount).to.equal(0);
  });
});
