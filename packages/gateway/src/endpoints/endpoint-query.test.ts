import { expect } from 'chai';

import { milliseconds } from '@sesamegrade/core/types/units';
import { SystemTimerService } from '@sesamegrade/router/process/system-timer-service';
import { ScriptedServer } from '@sesamegrade/stand-ins/deployment/scripted-server';
import { EndpointConnection } from './endpoint-connection';
import { DirectDialer } from './endpoint-dialer';
import { queryEndpoint } from './endpoint-query';
import type { QueryResponse } from './endpoint-query';

const TIMEOUT = milliseconds(2000);
const FIELDS = 'Server-Leaving: 1\r\nContent-Length: 2\r\n';

describe('queryEndpoint', () => {
  let server: ScriptedServer;
  let statuses: number[];

  beforeEach(() => {
    statuses = [];
  });

  afterEach(async () => {
    await server.stop();
  });

  async function query(response: string): Promise<QueryResponse | undefined> {
    server = await new ScriptedServer((_request, socket) => {
      socket.end(response, 'latin1');
    }).start();
    const [host = '', port] = server.address.split(':');
    return queryEndpoint({
      connection: new EndpointConnection(
        { host, port: Number(port) },
        TIMEOUT,
        new DirectDialer(),
        () => undefined,
      ),
      target: '/',
      timers: new SystemTimerService(),
      timeout: TIMEOUT,
      maxBytes: 1000,
      onHead: status => statuses.push(status),
    });
  }

  it('reads a response and its head', async () => {
    const response = await query(`HTTP/1.1 200 OK\r\n${FIELDS}\r\n{}`);
    expect(response?.status).to.equal(200);
    expect(statuses).to.deep.equal([200]);
  });

  const heads = [
    ...['000', '001', '099', '0200', '20', '600', '999'].map(
      status => `HTTP/1.1 ${status} OK\r\n${FIELDS}`,
    ),
    ...['HTTP/0.9', 'HTTP/2.0', 'RTSP/1.0'].map(
      version => `${version} 200 OK\r\n${FIELDS}`,
    ),
    ...['X Y: v', 'X\x01: v', 'X : v', ': v', 'X', 'X: \0', 'X: \x7f'].map(
      field => `HTTP/1.1 200 OK\r\n${FIELDS}${field}\r\n`,
    ),
  ];
  for (const head of heads) {
    // Guards against a report, a list or a statement of an endpoint that is read from a malformed head.
    it(`reads nothing from the head ${JSON.stringify(head)}`, async () => {
      expect(await query(`${head}\r\n{}`)).to.equal(undefined);
      expect(statuses).to.deep.equal([]);
    });
  }
});
