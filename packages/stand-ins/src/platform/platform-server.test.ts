import { expect } from 'chai';
import { request } from 'undici';

import { PlatformServer } from './platform-server';
import type { PlatformOptions } from './platform-server';

describe('platform server', () => {
  const started: PlatformServer[] = [];

  async function start(options: PlatformOptions = {}) {
    const platform = new PlatformServer(options);
    started.push(platform);
    const { host, port } = await platform.start();
    const url = `http://${host}:${port}`;
    const call = async (
      method: 'GET' | 'PUT' | 'POST' | 'DELETE',
      path: string,
      body?: unknown,
      headers: Record<string, string> = {},
    ) => {
      const response = await request(`${url}${path}`, {
        method,
        headers,
        body: body === undefined ? null : JSON.stringify(body),
      });
      const value = (await response.body.json()) as Record<string, unknown>;
      return { status: response.statusCode, value };
    };
    return { platform, call };
  }

  afterEach(async () => {
    await Promise.all(started.splice(0).map(platform => platform.stop()));
  });

  it('applies writes only if their condition on absence or version is met', async () => {
    const { call } = await start();
    const absent = { 'if-none-match': '*' };
    const first = await call('PUT', '/tables/t/k', { value: 1 }, absent);
    expect(first.status).to.equal(200);
    const second = await call('PUT', '/tables/t/k', { value: 2 }, absent);
    expect(second.status).to.equal(412);
    const match = { 'if-match': `"${String(first.value.version)}"` };
    const third = await call('PUT', '/tables/t/k', { value: 3 }, match);
    expect(third.status).to.equal(200);
    expect(
      (await call('DELETE', '/tables/t/k', undefined, match)).status,
    ).to.equal(412);
    const row = await call('GET', '/tables/t/k');
    expect(row.value).to.deep.equal({
      table: 't',
      key: 'k',
      version: third.value.version,
      value: 3,
    });
  });

  it('applies all operations of a transaction or none', async () => {
    const { call, platform } = await start();
    const put = (key: string, condition: unknown) => ({
      table: 't',
      key,
      condition,
      change: { kind: 'put', value: key },
    });
    const rejected = await call('POST', '/tables', {
      operations: [
        put('a', { kind: 'absent' }),
        put('b', { kind: 'version', version: 7 }),
      ],
    });
    expect(rejected).to.deep.equal({ status: 409, value: { operation: 1 } });
    expect(platform.tables.get('t', 'a')).to.equal(undefined);
    const done = await call('POST', '/tables', {
      operations: [put('a', { kind: 'absent' }), put('b', { kind: 'none' })],
    });
    expect(done.value.versions).to.have.length(2);
  });

  it('scans a prefix page by page', async () => {
    const { call } = await start();
    for (const key of ['a/1', 'a/2', 'a/3', 'b/1']) {
      await call('PUT', `/tables/t/${encodeURIComponent(key)}`, { value: key });
    }
    const first = await call('GET', '/tables/t?prefix=a/&limit=2');
    expect(first.value.next).to.equal('a/2');
    const second = await call('GET', '/tables/t?prefix=a/&limit=2&after=a/2');
    const rows = second.value.rows as { key: string }[];
    expect(rows.map(row => row.key)).to.deep.equal(['a/3']);
    expect(second.value.next).to.equal(undefined);
  });

  it('loses the response to a write that took effect', async () => {
    const { call, platform } = await start();
    platform.setFaults({ lostAnswers: 1 });
    const lost = await call('PUT', '/tables/t/k', { value: 1 }).then(
      () => 'answered',
      () => 'lost',
    );
    expect(lost).to.equal('lost');
    expect(platform.tables.get('t', 'k')?.value).to.equal(1);
  });

  it('limits writes by row and responds 503 in an outage', async () => {
    const { call, platform } = await start({ writesPerSecond: 0.5 });
    expect((await call('PUT', '/tables/t/a', { value: 1 })).status).to.equal(
      200,
    );
    expect((await call('PUT', '/tables/t/b', { value: 1 })).status).to.equal(
      429,
    );
    expect(platform.counters).to.include({ writes: 1, limitedWrites: 1 });
    platform.setFaults({ outage: true });
    expect((await call('GET', '/tables/t/a')).status).to.equal(503);
  });

  it('shows changes of the VM list only after the lag', async () => {
    const { call, platform } = await start({ vmListLagMs: 60_000 });
    const entry = {
      vm: 'e1',
      kind: 'engine',
      host: '127.0.0.1',
      port: 1,
      zone: 'z',
      state: 'live',
      incarnation: 1,
      capacity: 1,
    };
    await call('POST', '/control/vms', { action: 'register', entry });
    expect((await call('GET', '/vms')).value).to.deep.equal({ vms: [] });
    platform.setFaults({ vmListLagMs: 0 });
    await call('POST', '/control/vms', { action: 'leave', vm: 'e1' });
    expect((await call('GET', '/control/vms')).value).to.deep.equal({
      vms: [{ ...entry, state: 'leaving' }],
    });
  });

  it('serves a limited number of weight loads at once', async () => {
    const { call } = await start({ weightSlots: 1, weightLoadMs: 100 });
    const loads = await Promise.all([
      call('POST', '/weights/a'),
      call('POST', '/weights/b'),
    ]);
    const statuses = loads.map(load => load.status);
    expect(statuses.sort()).to.deep.equal([200, 429]);
  });
});
