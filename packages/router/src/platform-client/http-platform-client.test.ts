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

function connect(port: number): HttpPlatformClient {
  return new HttpPlatformClient({
    origin: `http://127.0.0.1:${port}`,
    timeout: milliseconds(200),
    weightsTimeout: milliseconds(200),
    connections: 2,
  });
}

describe('HttpPlatform', () => {
  let server: Server;
  let platform: HttpPlatformClient;

  async function serve(listener: RequestListener): Promise<void> {
    server = createServer(listener);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    platform = connect(port);
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

  it('asks for the list of VMs only when it changed', async () => {
    const asked: (string | undefined)[] = [];
    await serve((request, response) => {
      const tag = request.headers['if-none-match'];
      asked.push(tag);
      response.statusCode = tag === '"one"' ? 304 : 200;
      response.setHeader('ETag', '"one"');
      response.end(tag === '"one"' ? undefined : '{"vms":[]}');
    });
    expect(await platform.vms()).to.deep.equal({ kind: 'vms', vms: [] });
    expect(await platform.vms()).to.deep.equal({ kind: 'unchanged' });
    expect(asked).to.deep.equal([undefined, '"one"']);
  });

  it('sends a condition and tells a commit from a conflict', async () => {
    const seen: string[] = [];
    await serve((request, response) => {
      seen.push(
        `${request.url ?? ''} ${request.headers['if-none-match'] ?? ''}`,
      );
      response.statusCode = seen.length === 1 ? 200 : 412;
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
    expect(seen[0]).to.equal('/tables/orders/team%2Fa%20key *');
  });

  it('says unavailable for a refused connection, 503 and 429', async () => {
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
    platform = connect(port);
    expect((await platform.write([insert])).kind).to.equal('unavailable');
  });

  it('says unknown once the write may have arrived', async () => {
    const endings: RequestListener[] = [
      request => request.socket.destroy(),
      () => undefined,
      (_request, response) => response.writeHead(500).end(),
      (_request, response) => response.end('not json'),
      (_request, response) => response.end('{"version":"7"}'),
    ];
    let round = 0;
    await serve((request, response) => {
      request.resume();
      request.on('end', () => endings[round]?.(request, response));
    });
    for (round = 0; round < endings.length; round += 1) {
      expect((await platform.write([insert])).kind).to.equal('unknown');
    }
  });

  it('refuses rows and lists that break the schema', async () => {
    await serve((_request, response) =>
      response.end('{"vms":[{"vm":"a","port":99999}],"rows":[{}]}'),
    );
    expect((await platform.vms()).kind).to.equal('unavailable');
    expect((await platform.scan({ table: 't' })).kind).to.equal('unavailable');
    expect((await platform.read('t', 'k')).kind).to.equal('unavailable');
  });
});
