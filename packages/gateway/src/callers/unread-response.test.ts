import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import { expect } from 'chai';

import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import type { Forwarder } from '../forwarding/forwarder';
import type { DecisionLog } from '../logs/decision-log';
import { GatewayCallerServer } from './gateway-caller-server';

/** More than the sockets of both sides take. */
const RESPONSE_BYTES = 33_554_432;

describe('CallerExchange with a response that is not read', () => {
  let server: GatewayCallerServer;
  let caller: Socket;
  let unsentAtEnd: number;
  let isSent: boolean;

  beforeEach(async () => {
    isSent = false;
    unsentAtEnd = 0;
    const forwarder: Pick<Forwarder, 'serve'> = {
      serve: exchange => {
        exchange.refuse({
          status: 404,
          headers: [],
          body: 'x'.repeat(RESPONSE_BYTES),
        });
        unsentAtEnd = exchange.unsentBytes;
        exchange.onSent(() => {
          isSent = true;
        });
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
    caller = connect(await server.listen({ host: '127.0.0.1', port: 0 }));
    caller.on('error', () => undefined);
    caller.pause();
    caller.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    while (unsentAtEnd === 0) {
      await pause(5);
    }
  });

  afterEach(() => {
    caller.destroy();
    server.close();
  });

  // Guards against responses that count for no limit while slow callers make the router hold them.
  it('is not sent before its caller has read it', async () => {
    await pause(200);
    expect(isSent).to.equal(false);
    let length = 0;
    caller.on('data', bytes => {
      length += bytes.length;
    });
    caller.resume();
    while (length < RESPONSE_BYTES || !isSent) {
      await pause(5);
    }
  });

  it('is not sent any more when its caller leaves', async () => {
    caller.destroy();
    while (!isSent) {
      await pause(5);
    }
  });
});
