import { expect } from 'chai';
import { request } from 'undici';

import { EngineServer } from './engine-server';
import type { EngineOptions } from './engine-server';
import { expectedTokens } from './expected-response';

const body = {
  model: 'drafting',
  messages: [{ role: 'user', content: 'hello' }],
  stream: true,
};

describe('engine server', () => {
  const started: EngineServer[] = [];

  async function start(options: EngineOptions = {}) {
    const engine = new EngineServer({ tokensPerSecond: 2000, ...options });
    started.push(engine);
    const { host, port } = await engine.start();
    return { engine, url: `http://${host}:${port}` };
  }

  function post(url: string, id: string, value: unknown = body) {
    return request(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: { 'x-request-id': id },
      body: JSON.stringify(value),
    });
  }

  afterEach(async () => {
    await Promise.all(started.splice(0).map(engine => engine.stop()));
  });

  it('streams the expected tokens and ends with [DONE]', async () => {
    const { url } = await start();
    const response = await post(url, 'a');
    const text = await response.body.text();
    const data = [...text.matchAll(/^data: (.*)$/gm)].map(match => match[1]!);
    const content = data
      .slice(0, -2)
      .map(item => (/"content":"([^"]*)"/.exec(item) ?? [])[1]);
    expect(content).to.deep.equal(expectedTokens(body));
    expect(data.at(-1)).to.equal('[DONE]');
    expect(response.headers['x-engine-capacity']).to.equal('16');
  });

  it('resumes a stream after the last received event when its connection is lost', async () => {
    const { url } = await start({ tokensPerSecond: 200 });
    const lost = await post(url, 'a');
    lost.body.once('error', () => undefined);
    lost.body.destroy();
    const response = await request(`${url}/v1/streams/a`, {
      headers: { 'last-event-id': '2' },
    });
    const text = await response.body.text();
    const ids = [...text.matchAll(/^id: (\d+)$/gm)].map(match => match[1]);
    expect(ids[0]).to.equal('3');
    expect(ids).to.have.length(expectedTokens(body).length);
  });

  it('rejects orders with a lower fencing number only if it checks them', async () => {
    const orderRequest = (fence: number) => ({
      method: 'PUT' as const,
      body: JSON.stringify({
        fence,
        lease: 'engine-1',
        model: 'assistant',
        version: String(fence),
        adapters: [],
        role: 'serve',
      }),
    });
    for (const [checksFence, status] of [
      [true, 409],
      [false, 200],
    ] as const) {
      const { url } = await start({ checksFence });
      const first = await request(`${url}/desired`, orderRequest(5));
      await first.body.dump();
      const second = await request(`${url}/desired`, orderRequest(4));
      expect(second.statusCode).to.equal(status);
      const report = (await second.body.json()) as Record<string, unknown>;
      expect(report).to.include({
        fence: checksFence ? 5 : 4,
        highestFence: 5,
      });
    }
  });

  it('destroys every connection in a crash and retains its run log', async () => {
    const { url } = await start({ tokensPerSecond: 10 });
    const unmarkedResponse = await post(url, 'unmarked');
    const messages = [{ role: 'user', content: '[[crash]]' }];
    const markedResponse = post(url, 'marked', { ...body, messages });
    const outcomes = await Promise.allSettled([
      unmarkedResponse.body.text(),
      markedResponse.then(response => response.body.text()),
    ]);
    expect(outcomes.map(outcome => outcome.status)).to.deep.equal([
      'rejected',
      'rejected',
    ]);
    const control = await request(`${url}/control/runs`);
    const { runs } = (await control.body.json()) as {
      runs: { attempt: string; end: string }[];
    };
    expect(runs.map(run => run.end)).to.deep.equal(['crashed', 'crashed']);
  });

  it('responds 400 to malformed requests and 404 to unknown models', async () => {
    const { url } = await start();
    const malformed = await post(url, 'a', { model: 'drafting' });
    expect(malformed.statusCode).to.equal(400);
    await malformed.body.dump();
    const unknown = await post(url, 'b', { ...body, model: 'other' });
    expect(unknown.statusCode).to.equal(404);
    expect(unknown.headers['x-engine-refused']).to.equal('model');
    await unknown.body.dump();
  });
});
