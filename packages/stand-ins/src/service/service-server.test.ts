import { expect } from 'chai';
import { request } from 'undici';

import { ServiceServer } from './service-server';

describe('service server', () => {
  let service: ServiceServer;
  let url: string;

  beforeEach(async () => {
    service = new ServiceServer({ delayMs: 1 });
    const { host, port } = await service.start();
    url = `http://${host}:${port}`;
  });

  afterEach(() => service.stop());

  function postOrder(key: string) {
    return request(`${url}/orders`, {
      method: 'POST',
      headers: { 'idempotency-key': key, 'x-request-id': `r-${key}` },
      body: key,
    });
  }

  it('counts executions by idempotency key and by request id', async () => {
    for (const key of ['a', 'a', 'b']) {
      await (await postOrder(key)).body.dump();
    }
    const response = await request(`${url}/control/executions`);
    expect(await response.body.json()).to.deep.include({
      total: 3,
      byKey: { a: 2, b: 1 },
      byRequest: { 'r-a': 2, 'r-b': 1 },
    });
  });

  it('does not execute rejected calls but executes calls whose response is lost', async () => {
    await service.control({ refusals: 1 });
    const rejected = await postOrder('a');
    await rejected.body.dump();
    expect(rejected.statusCode).to.equal(429);
    expect(service.executions().total).to.equal(0);
    await service.control({ refusals: 0, lostAnswers: 1 });
    const lost = await postOrder('b').then(
      () => 'answered',
      () => 'lost',
    );
    expect(lost).to.equal('lost');
    expect(service.executions().byKey).to.deep.equal({ b: 1 });
  });
});
