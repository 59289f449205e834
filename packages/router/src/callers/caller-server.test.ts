import { connect } from 'node:net';

import { expect } from 'chai';

import { eventIdPrefix } from '@sesamegrade/core/streams/event-id';
import { attemptId, endpointId, teamId } from '@sesamegrade/core/types/ids';
import { expectedTokens } from '@sesamegrade/stand-ins/engine/expected-response';
import { StreamTags } from '../endpoints/stream-tags';
import {
  TEST_KEY,
  TEST_MODEL,
  TEST_PEER_SECRET,
  TestFleet,
} from '../testing/test-fleet';

interface Problem {
  readonly type: string;
  readonly outcome: string;
  readonly requestId: string;
}

const BODY = {
  model: TEST_MODEL,
  messages: [{ role: 'user', content: 'una ficha' }],
  max_tokens: 6,
};

/** Parses the events of a streamed response. */
function eventsOf(text: string): { id: string; data: string }[] {
  return text
    .split('\n\n')
    .filter(block => block.startsWith('id: '))
    .map(block => {
      const [id = '', data = ''] = block.split('\n');
      return { id: id.slice('id: '.length), data: data.slice('data: '.length) };
    });
}

function textOf(events: readonly { data: string }[]): string {
  return events
    .filter(({ data }) => data !== '[DONE]')
    .map(({ data }) => {
      const chunk = JSON.parse(data) as {
        choices: { delta: { content?: string } }[];
      };
      return chunk.choices[0]?.delta.content ?? '';
    })
    .join('');
}

describe('CallerServer', () => {
  const fleet = new TestFleet();

  before(() =>
    fleet.start({
      routers: 2,
      engines: 2,
      engine: { tokensPerSecond: 200 },
      settings: { limits: { body_bytes: '2048', resume_grace_ms: '50' } },
    }),
  );

  after(() => fleet.stop());

  it('streams a complete response that ends with [DONE]', async () => {
    const response = await fleet.chat(0, { ...BODY, stream: true });
    const events = eventsOf(await response.text());
    expect(events.at(-1)?.data).to.equal('[DONE]');
    expect(textOf(events)).to.equal(expectedTokens(BODY).join(''));
  });

  it('resumes a stream through another router, but not with a forged team tag', async () => {
    const response = await fleet.chat(0, { ...BODY, stream: true });
    const events = eventsOf(await response.text());
    const thirdId = events[2]?.id ?? '';
    const resumed = await fleet.chat(
      1,
      { ...BODY, stream: true },
      { 'last-event-id': thirdId },
    );
    expect(eventsOf(await resumed.text()).map(event => event.data)).to.eql(
      events.slice(3).map(event => event.data),
    );
    const forged = thirdId.replace(/~([0-9a-f])/u, '~x$1');
    const refused = await fleet.chat(
      1,
      { ...BODY, stream: true },
      { 'last-event-id': forged },
    );
    expect(refused.status).to.equal(400);
  });

  it('reports stream-gone with an unknown outcome after the engine crashed', async () => {
    const response = await fleet.chat(0, { ...BODY, stream: true });
    const firstId = eventsOf(await response.text())[0]?.id ?? '';
    const [endpoint] = firstId.split('~');
    await fleet.engines
      .find((_, index) => `engine-${index + 1}` === endpoint)
      ?.control({ crash: true });
    const resumed = await fleet.chat(
      1,
      { ...BODY, stream: true },
      { 'last-event-id': firstId },
    );
    const problem = (await resumed.json()) as Problem;
    expect(problem.type).to.match(/:stream-gone$/u);
    expect(problem.outcome).to.equal('unknown');
  });

  it('reports stream-gone for a stream of an unknown endpoint', async () => {
    const endpoint = endpointId('engine-9');
    const attempt = attemptId('router-1.1.1');
    const tags = new StreamTags({ secret: TEST_PEER_SECRET });
    const tag = tags.tagOf(teamId('acme'), endpoint, attempt);
    const response = await fleet.chat(
      0,
      { ...BODY, stream: true },
      { 'last-event-id': `${eventIdPrefix(endpoint, attempt, tag)}1` },
    );
    const problem = (await response.json()) as Problem;
    expect(problem.type).to.match(/:stream-gone$/u);
  });

  it('replays the recorded response of a repeated order and runs the order once', async () => {
    const order = { product: 'sealant', batch: 7 };
    const headers = { 'idempotency-key': '"order-1"' };
    const responses = await Promise.all(
      [0, 1, 0, 1].map(router => fleet.call(router, order, headers)),
    );
    const bodies = await Promise.all(
      responses.map(response => response.text()),
    );
    expect(responses.map(response => response.status)).to.eql([
      200, 200, 200, 200,
    ]);
    expect(new Set(bodies).size).to.equal(1);
    const other = await fleet.call(0, { product: 'other' }, headers);
    const problem = (await other.json()) as Problem;
    expect(problem.type).to.match(/:key-conflict$/u);
    expect(problem.outcome).to.equal('not_run');
  });

  it('cancels the run of a disconnected caller after the resume grace period', async () => {
    const controller = new AbortController();
    const body = { ...BODY, max_tokens: 1000, stream: true };
    const response = await fleet.chat(0, body, {}, controller.signal);
    await response.body?.getReader().read();
    controller.abort();
    expect(await waitForCancelledRun(fleet)).to.equal(true);
  });

  const invalidRequests: readonly [string, number, string, RequestInit][] = [
    ['malformed JSON', 400, 'malformed-request', { body: '{"model":' }],
    ['wrong types', 400, 'malformed-request', { body: '{"model":7}' }],
    [
      'bad UTF-8',
      400,
      'malformed-request',
      { body: new Uint8Array([0x22, 0xff, 0x22]) },
    ],
    ['too large', 413, 'body-too-large', { body: 'x'.repeat(5000) }],
    [
      'an unknown model',
      404,
      'unknown-model',
      { body: JSON.stringify({ ...BODY, model: 'none' }) },
    ],
    [
      'a bad chat id',
      400,
      'malformed-request',
      { body: JSON.stringify(BODY), headers: { 'x-chat-id': 'a b' } },
    ],
    [
      'an unknown key',
      401,
      'unauthenticated',
      { body: '{}', headers: { authorization: 'Bearer nobody' } },
    ],
    [
      'an encoded body',
      400,
      'malformed-request',
      { body: '{}', headers: { 'content-encoding': 'gzip' } },
    ],
  ];
  for (const [name, status, type, init] of invalidRequests) {
    it(`refuses ${name} with the outcome not_run`, async () => {
      const response = await fetch(`${fleet.urls[0]!}/v1/chat/completions`, {
        method: 'POST',
        ...init,
        headers: new Headers({
          authorization: `Bearer ${TEST_KEY}`,
          ...Object.fromEntries(new Headers(init.headers)),
        }),
      });
      const problem = (await response.json()) as Problem;
      expect(response.status).to.equal(status);
      expect(problem.type).to.equal(`urn:sesamegrade:problem:${type}`);
      expect(problem.outcome).to.equal('not_run');
      expect(response.headers.get('x-request-id')).to.equal(problem.requestId);
    });
  }

  it('keeps serving after truncated bodies and invalid HTTP', async () => {
    const { port } = new URL(fleet.urls[0]!);
    const truncatedBody = `POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${TEST_KEY}\r\ncontent-length: 50\r\n\r\n{"mo`;
    for (const text of [
      truncatedBody,
      'NOT HTTP\r\n\r\n',
      'GET / HTTP/1.1\r\n: x\r\n',
    ]) {
      await sendRaw(Number(port), text);
    }
    const response = await fleet.chat(0, BODY);
    expect(response.status).to.equal(200);
  });
});

/** Polls for two seconds; resolves to whether an engine recorded a cancelled run. */
async function waitForCancelledRun(fleet: TestFleet): Promise<boolean> {
  for (let poll = 0; poll < 100; poll += 1) {
    const runs = fleet.engines.flatMap(engine => engine.runs());
    if (runs.some(run => run.end === 'cancelled')) {
      return true;
    }
    await new Promise(resolve => setTimeout(resolve, 20));
  }
  return false;
}

/** Sends text on a new connection, closes the sending side and resolves to the response. */
function sendRaw(port: number, text: string): Promise<string> {
  return new Promise(resolve => {
    let received = '';
    const socket = connect(port, '127.0.0.1', () => {
      socket.end(text);
    });
    socket.on('data', part => {
      received += part.toString();
    });
    socket.on('close', () => {
      resolve(received);
    });
    socket.on('error', () => {
      resolve(received);
    });
  });
}
