import { once } from 'node:events';
import type { RequestListener, Server } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { expect } from 'chai';

import type { TableOperation } from '@sesamegrade/core/types/platform';
import { milliseconds } from '@sesamegrade/core/types/units';
import { HttpPlatformClient } from './http-platform-client';

const insert: TableOperation = {
  table: 'orders',
  key: 'team/a key',
  condition: { kind: 'absent' },
  change: { kind: 'put', value: { state: 'open' } },
};

function clientOf(port: number): HttpPlatformClient {
  return new HttpPlatformClient({
    origin: `http://127.0.0.1:${port}`,
    timeout: milliseconds(200),
    weightsTimeout: milliseconds(200),
    connections: 2,
  });
}

describe('HttpPlatformClient', () => {
  let server: Server;
  let platform: HttpPlatformClient;

  async function serve(listener: RequestListener): Promise<void> {
    server = createServer(listener);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    platform = clientOf(port);
  }

  async function stopServer(): Promise<void> {
    server.closeAllConnections();
    server.close();
    await once(server, 'close');
  }

  afterEach(async () => {
    await platform.close();
    if (server.listening) {
      await stopServer();
    }
  });

  it('requests the list of VMs conditionally, by its ETag', async () => {
    const etags: (string | undefined)[] = [];
    await serve((request, response) => {
      const etag = request.headers['if-none-match'];
      etags.push(etag);
      response.statusCode = etag === '"one"' ? 304 : 200;
      response.setHeader('ETag', '"one"');
      response.end(etag === '"one"' ? undefined : '{"vms":[]}');
    });
    expect(await platform.vms()).to.deep.equal({ kind: 'vms', vms: [] });
    expect(await platform.vms()).to.deep.equal({ kind: 'unchanged' });
    expect(etags).to.deep.equal([undefined, '"one"']);
  });

  it('sends the condition of a write and distinguishes a commit from a conflict', async () => {
    const requests: string[] = [];
    await serve((request, response) => {
      requests.push(
        `${request.url ?? ''} ${request.headers['if-none-match'] ?? ''}`,
      );
      response.statusCode = requests.length === 1 ? 200 : 412;
      response.end('{"version":7}');
    });
    expect(await platform.write([insert])).to.deep.equal({
      kind: 'committed',
      versions: [7],
    });
    expect(await platform.write([insert])).to.deep.equal({
      kind: 'conflict',
      operation: 0,
    });
    expect(requests[0]).to.equal('/tables/orders/team%2Fa%20key *');
  });

  it('reports a refused connection, 503 and 429 as without effect', async () => {
    let status = 503;
    await serve((_request, response) => {
      response.writeHead(status, { 'retry-after': '2' });
      response.end();
    });
    expect((await platform.write([insert])).kind).to.equal('unavailable');
    status = 429;
    expect(await platform.write([insert, insert])).to.deep.equal({
      kind: 'rate-limited',
      retryAfterMs: 2000,
    });
    const { port } = server.address() as AddressInfo;
    await stopServer();
    await platform.close();
    platform = clientOf(port);
    expect((await platform.write([insert])).kind).to.equal('unavailable');
  });

  it('reports unknown when a write may have reached the service', async () => {
    const failures: RequestListener[] = [
      request => request.socket.destroy(),
      () => undefined,
      (_request, response) => response.writeHead(500).end(),
      (_request, response) => response.end('not json'),
      (_request, response) => response.end('{"version":"7"}'),
    ];
    let index = 0;
    await serve((request, response) => {
      request.resume();
      request.on('end', () => failures[index]?.(request, response));
    });
    for (index = 0; index < failures.length; index += 1) {
      expect((await platform.write([insert])).kind).to.equal('unknown');
    }
  });

  it('discards rows and lists that do not match the schema', async () => {
    await serve((_request, response) =>
      response.end('{"vms":[{"vm":"a","port":99999}],"rows":[{}]}'),
    );
    expect((await platform.vms()).kind).to.equal('unavailable');
    expect((await platform.scan({ table: 't' })).kind).to.equal('unavailable');
    expect((await platform.read('t', 'k')).kind).to.equal('unavailable');
  });
});
