import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import { expect } from 'chai';

import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import { isReset } from '@sesamegrade/stand-ins/deployment/http-caller';
import type { Forwarder } from '../forwarding/forwarder';
import type { DecisionLog } from '../logs/decision-log';
import { GatewayCallerServer } from './gateway-caller-server';

/** More than the sockets of both sides take. */
const RESPONSE_BYTES = 33_554_432;

describe('GatewayCallerServer that closes with a response that is not read', () => {
  let server: GatewayCallerServer;
  let caller: Socket;

  afterEach(() => {
    caller.destroy();
    server.close();
  });

  // Guards against a part of a response that passes for the whole, as only the end of its connection marks its end.
  it('resets the connection if only its end marks the end of the response', async () => {
    let endedCount = 0;
    const forwarder: Pick<Forwarder, 'serve'> = {
      serve: exchange => {
        exchange.startResponse({
          status: 200,
          headers: [],
          framing: 'connection',
          length: undefined,
        } as never);
        exchange.write(Buffer.alloc(RESPONSE_BYTES, 'x'));
        exchange.end();
        endedCount += 1;
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
    const address = await server.listen({ host: '127.0.0.1', port: 0 });
    caller = connect({ ...address, allowHalfOpen: true });
    let length = 0;
    const ending = new Promise<boolean>(resolve => {
      caller.on('error', () => {
        resolve(true);
      });
      caller.on('end', () => {
        resolve(isReset(caller));
      });
    });
    caller.on('data', bytes => {
      length += bytes.length;
    });
    caller.pause();
    caller.write('GET / HTTP/1.0\r\nHost: h\r\n\r\n');
    while (endedCount === 0) {
      await pause(5);
    }
    await pause(100);
    expect(server.openExchangeCount).to.equal(1);
    server.close();
    caller.resume();
    const wasReset = await ending;
    expect(length).to.be.lessThan(RESPONSE_BYTES);
    expect(wasReset).to.equal(true);
  });
});
