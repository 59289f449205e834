import { expect } from 'chai';

import type { RequestMessage } from '@sesamegrade/core/requests/types';
import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { Address } from '@sesamegrade/core/types/endpoint';
import { attemptId, endpointId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import { ScriptedServer } from '@sesamegrade/stand-ins/deployment/scripted-server';
import type { Exchange } from '../dispatch/exchange';
import { SystemTimerService } from '../process/system-timer-service';
import { AttemptRunner, EndpointLookup } from './attempt-runner';
import { BufferedRelay } from './buffered-relay';
import { EndpointClient } from './endpoint-client';
import type { HeaderLoad } from './engine-headers';
import { StreamRelay } from './stream-relay';
import { StreamTags } from './stream-tags';

const TIMEOUT = milliseconds(2000);
const NOT_RUN_STATUS = 503;
const BODY = 'data: [DONE]\nid: 1\n\n';
/** What an engine says in a head: its load, and that it did not run the request. */
const STATEMENTS =
  'X-Engine-Running: 1\r\nX-Engine-Waiting: 2\r\nX-Engine-Refused: full\r\n';

class OneEndpoint extends EndpointLookup {
  readonly loads: HeaderLoad[] = [];
  readonly #address: Address;

  constructor(address: Address) {
    super();
    this.#address = address;
  }

  override addressOf(): Address {
    return this.#address;
  }

  override notRunStatuses(): readonly number[] {
    return [NOT_RUN_STATUS];
  }

  override onReportedLoad(_endpoint: unknown, load: HeaderLoad): void {
    this.loads.push(load);
  }
}

describe('AttemptRunner', () => {
  /** Sends a request; returns what the request flow is told, and what the caller and the load view get. */
  async function send(response: string, target: 'chat' | 'call') {
    const server = await new ScriptedServer((_request, socket) => {
      socket.end(response, 'latin1');
    }).start();
    const client = new EndpointClient({
      connectTimeout: TIMEOUT,
      firstByteTimeout: TIMEOUT,
      stallTimeout: TIMEOUT,
    });
    const [host = '', port] = server.address.split(':');
    const directory = new OneEndpoint({ host, port: Number(port) });
    const messages: RequestMessage[] = [];
    const statuses: number[] = [];
    const runner = new AttemptRunner({
      client,
      directory,
      streamRelay: new StreamRelay({
        tags: new StreamTags({ secret: 'secret' }),
      }),
      bufferedRelay: new BufferedRelay({
        maxResponseBytes: 1000,
        onResponse: (_task, { status }) => statuses.push(status),
      }),
      timers: new SystemTimerService(),
      backgroundTasks: new BackgroundTasks(({ error }) => {
        throw error;
      }),
      resumeGrace: TIMEOUT,
      post: message => messages.push(message),
    });
    const exchange = {
      request: { id: 'r-1', target: { kind: target } },
      call: { method: 'POST', path: '/', headers: {}, body: '{}' },
      shape: { kind: 'whole' },
      callerResponse: { isDisconnected: true },
    } as unknown as Exchange;
    try {
      await runner.send({
        exchange,
        attempt: attemptId('a-1'),
        endpoint: endpointId('s-1'),
      });
    } finally {
      await client.close();
      await server.stop();
    }
    return {
      kinds: messages.map(({ kind }) => kind),
      loads: directory.loads,
      statuses,
    };
  }

  const respond = (statusLine: string, fields = '') =>
    `${statusLine}\r\nContent-Length: ${BODY.length}\r\n${fields}\r\n${BODY}`;

  it('relays a sound response', async () => {
    const { kinds, statuses } = await send(respond('HTTP/1.1 200 OK'), 'call');
    expect(kinds).to.deep.equal(['answering', 'delivered', 'finished']);
    expect(statuses).to.deep.equal([200]);
  });

  it('takes the load and the refusal of a sound response', async () => {
    const response = respond('HTTP/1.1 503 Full', STATEMENTS);
    const { kinds, loads } = await send(response, 'call');
    expect(kinds).to.deep.equal(['declined']);
    expect(loads).to.have.length(1);
  });

  const malformed = [
    ...['000', '001', '099', '100', '199', '0200', '20', '2 00', '20x'],
    ...['600', '999', '1000'],
  ].map(status => respond(`HTTP/1.1 ${status} OK`, STATEMENTS));
  const fields = ['X Y: v', 'X : v', ': v', 'X', 'X\x01: v', 'X: \0'].map(
    field => respond('HTTP/1.1 503 Full', `${STATEMENTS}${field}\r\n`),
  );
  const plain = ['600', '999'].map(status => respond(`HTTP/1.1 ${status} OK`));
  for (const response of [...malformed, ...plain, ...fields]) {
    // Guards against a malformed response that is relayed and recorded, proves that its request did not run, or reports a load.
    it(`takes nothing from ${JSON.stringify(response.slice(0, -BODY.length))}`, async () => {
      for (const target of ['chat', 'call'] as const) {
        const { kinds, loads, statuses } = await send(response, target);
        expect(kinds).to.deep.equal(['broken']);
        expect(loads).to.deep.equal([]);
        expect(statuses).to.deep.equal([]);
      }
    });
  }
});
