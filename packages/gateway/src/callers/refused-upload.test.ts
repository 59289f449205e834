import { connect } from 'node:net';
import type { Socket } from 'node:net';

import { expect } from 'chai';

import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import { seconds } from '@sesamegrade/core/types/units';
import type { Forwarder } from '../forwarding/forwarder';
import type { DecisionLog } from '../logs/decision-log';
import { GatewayCallerServer } from './gateway-caller-server';

const MAX_BODY_BYTES = 100_000;
/** More than the system buffers of a connection that is not read. */
const UPLOAD_BYTES = 32_000_000;
const PART = Buffer.alloc(65_536);

describe('GatewayCallerServer that refuses an upload while it is sent', () => {
  let server: GatewayCallerServer;
  let timers: ManualTimerService;
  let caller: Socket;
  let received: string;
  let errors: string[];

  beforeEach(async () => {
    received = '';
    errors = [];
    timers = new ManualTimerService();
    const forwarder: Pick<Forwarder, 'serve'> = {
      serve: async exchange => {
        await exchange.readBody(MAX_BODY_BYTES, seconds(1));
        exchange.refuse({ status: 413, headers: [], body: 'too large' }, true);
      },
    };
    const log: Pick<DecisionLog, 'write'> = { write: () => undefined };
    server = new GatewayCallerServer({
      forwarder: forwarder as Forwarder,
      log: log as DecisionLog,
      timers,
      backgroundTasks: new BackgroundTasks(({ error }) => {
        throw error;
      }),
    });
    caller = connect({
      ...(await server.listen({ host: '127.0.0.1', port: 0 })),
      allowHalfOpen: true,
    });
    caller.on('error', ({ message }) => {
      errors.push(message);
    });
  });

  afterEach(() => {
    caller.destroy();
    server.close();
  });

  function sendHead(length: number): void {
    caller.write(
      `POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${length}\r\n\r\n`,
    );
  }

  function event(name: 'end' | 'close'): Promise<void> {
    return new Promise(resolve => {
      caller.once(name, () => {
        resolve();
      });
    });
  }

  // Guards against a caller that loses its answer, as the close of a connection with unread bytes resets it.
  it('lets a caller read the refusal that reads nothing before it has sent all', async () => {
    sendHead(UPLOAD_BYTES);
    await new Promise<void>(resolve => {
      caller.once('close', resolve);
      caller.write(Buffer.alloc(UPLOAD_BYTES), () => {
        resolve();
      });
    });
    caller.on('data', (data: Buffer) => {
      received += data.toString();
    });
    if (!caller.destroyed) {
      await event('end');
    }
    expect(errors).to.deep.equal([]);
    expect(received).to.match(/^HTTP\/1\.1 413 .*too large$/su);
  });

  it('closes the connection of a caller that goes on sending after a bounded time', async () => {
    sendHead(1e12);
    caller.on('data', (data: Buffer) => {
      received += data.toString();
    });
    const sending = setInterval(() => caller.write(PART), 1);
    await event('end');
    expect(errors).to.deep.equal([]);
    timers.advance(seconds(2));
    await event('close');
    clearInterval(sending);
    expect(received).to.match(/^HTTP\/1\.1 413 .*too large$/su);
  });
});
