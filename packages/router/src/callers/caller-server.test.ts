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

/** Returns the events of a streamed answer as pairs of id and data. */
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

describe('caller server', () => {
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

  it('streams a whole answer with an explicit end', async () => {
    const answer = await fleet.chat(0, { ...BODY, stream: true });
    const events = eventsOf(await answer.text());
    expect(events.at(-1)?.data).to.equal('[DONE]');
    expect(textOf(events)).to.equal(expectedTokens(BODY).join(''));
  });

  it('gives the rest of a stream on another router, to the same team only', async () => {
    const answer = await fleet.chat(0, { ...BODY, stream: true });
    const events = eventsOf(await answer.text());
    const third = events[2]?.id ?? '';
    const rest = await fleet.chat(
      1,
      { ...BODY, stream: true },
      { 'last-event-id': third },
    );
    expect(eventsOf(await rest.text()).map(event => event.data)).to.eql(
      events.slice(3).map(event => event.data),
    );
    const forged = third.replace(/~([0-9a-f])/u, '~x$1');
    const refused = await fleet.chat(
      1,
      { ...BODY, stream: true },
      { 'last-event-id': forged },
    );
    expect(refused.status).to.equal(400);
  });

  it('says truthfully that a stream is gone', async () => {
    const answer = await fleet.chat(0, { ...BODY, stream: true });
    const first = eventsOf(await answer.text())[0]?.id ?? '';
    const [endpoint] = first.split('~');
    await fleet.engines
      .find((_, index) => `engine-${index + 1}` === endpoint)
      ?.control({ crash: true });
    const rest = await fleet.chat(
      1,
      { ...BODY, stream: true },
      { 'last-event-id': first },
    );
    const problem = (await rest.json()) as Problem;
    expect(problem.type).to.match(/:stream-gone$/u);
    expect(problem.outcome).to.equal('unknown');
  });

  it('says at once that a stream at an endpoint unknown here is gone', async () => {
    const endpoint = endpointId('engine-9');
    const attempt = attemptId('router-1.1.1');
    const tags = new StreamTags({ secret: TEST_PEER_SECRET });
    const tag = tags.tagOf(teamId('acme'), endpoint, attempt);
    const answer = await fleet.chat(
      0,
      { ...BODY, stream: true },
      { 'last-event-id': `${eventIdPrefix(endpoint, attempt, tag)}1` },
    );
    const problem = (await answer.json()) as Problem;
    expect(problem.type).to.match(/:stream-gone$/u);
  });

  it('answers a repeated order from its record and runs it once', async () => {
    const order = { product: 'sealant', batch: 7 };
    const headers = { 'idempotency-key': '"order-1"' };
    const answers = await Promise.all(
      [0, 1, 0, 1].map(router => fleet.call(router, order, headers)),
    );
    const bodies = await Promise.all(answers.map(answer => answer.text()));
    expect(answers.map(answer => answer.status)).to.eql([200, 200, 200, 200]);
    expect(new Set(bodies).size).to.equal(1);
    const other = await fleet.call(0, { product: 'other' }, headers);
    const problem = (await other.json()) as Problem;
    expect(problem.type).to.match(/:key-conflict$/u);
    expect(problem.outcome).to.equal('not_run');
  });

  it('ends the stream of a caller that left, after the grace', async () => {
    const controller = new AbortController();
    const body = { ...BODY, max_tokens: 1000, stream: true };
    const answer = await fleet.chat(0, body, {}, controller.signal);
    await answer.body?.getReader().read();
    controller.abort();
    expect(await cancelledSoon(fleet)).to.equal(true);
  });

  const bad: readonly [string, number, string, RequestInit][] = [
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
  for (const [name, status, type, init] of bad) {
    it(`refuses ${name} as not run`, async () => {
      const answer = await fetch(`${fleet.urls[0]!}/v1/chat/completions`, {
        method: 'POST',
        ...init,
        headers: new Headers({
          authorization: `Bearer ${TEST_KEY}`,
          ...Object.fromEntries(new Headers(init.headers)),
        }),
      });
      const problem = (await answer.json()) as Problem;
      expect(answer.status).to.equal(status);
      expect(problem.type).to.equal(`urn:sesamegrade:problem:${type}`);
      expect(problem.outcome).to.equal('not_run');
      expect(answer.headers.get('x-request-id')).to.equal(problem.requestId);
    });
  }

  it('lives on after half-sent bodies and invalid headers', async () => {
    const { port } = new URL(fleet.urls[0]!);
    const half = `POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${TEST_KEY}\r\ncontent-length: 50\r\n\r\n{"mo`;
    for (const text of [
      half,
      'NOT HTTP\r\n\r\n',
      'GET / HTTP/1.1\r\n: x\r\n',
    ]) {
      await sendRaw(Number(port), text);
    }
    const answer = await fleet.chat(0, BODY);
    expect(answer.status).to.equal(200);
  });
});

/** Resolves to whether an engine records a cancelled run within some looks. */
async function cancelledSoon(fleet: TestFleet): Promise<boolean> {
  for (let look = 0; look < 100; look += 1) {
    const runs = fleet.engines.flatMap(engine => engine.runs());
    if (runs.some(run => run.end === 'cancelled')) {
      return true;
    }
    await new Promise(resolve => setTimeout(resolve, 20));
  }
  return false;
}

/** Sends bytes, ends the connection and returns what came back. */
function sendRaw(port: number, text: string): Promise<string> {
  return new Promise(resolve => {
    let reply = '';
    const socket = connect(port, '127.0.0.1', () => {
      socket.end(text);
    });
    socket.on('data', part => {
      reply += part.toString();
    });
    socket.on('close', () => {
      resolve(reply);
    });
    socket.on('error', () => {
      resolve(reply);
    });
  });
}
