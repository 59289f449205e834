import type { IncomingMessage, ServerResponse } from 'node:http';

import { expect } from 'chai';
import { request } from 'undici';
import type { Dispatcher } from 'undici';

import { EngineServer } from '@sesamegrade/stand-ins/engine/engine-server';
import {
  HttpStandIn,
  LOOPBACK,
  readBody,
  sendJson,
} from '@sesamegrade/stand-ins/http/http-stand-in';
import { PlatformServer } from '@sesamegrade/stand-ins/platform/platform-server';
import { ServiceServer } from '@sesamegrade/stand-ins/service/service-server';
import type { LoadPlan } from '../plan/load-plan';
import { renderReport } from '../report/html-report';
import { LoadRun } from './load-run';
import { violatedGuarantees } from './summary';

type Lie = 'none' | 'mix' | 'cut' | 'break' | 'not-run' | 'send-twice';

const PLAN: LoadPlan = {
  seed: 5,
  seconds: 0.5,
  teams: [{ team: 'a', key: 'ka', weight: 1 }],
  models: ['drafting'],
  chatsPerSecond: 80,
  chatPopulation: 4,
  returnPauseMs: 1,
  turnsPerChat: 6,
  services: ['registry'],
  ordersPerSecond: 20,
  resends: 0,
  lookupsPerSecond: 10,
};

/** Passes requests on to one engine or one service, and tells a kind of lie. */
class LyingRouter extends HttpStandIn {
  lie: Lie = 'none';
  readonly #engine: string;
  readonly #service: string;

  constructor(engine: string, service: string) {
    super(LOOPBACK);
    this.#engine = engine;
    this.#service = service;
  }

  protected override async handle(
    message: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    const body = await readBody(message);
    const service = /^\/services\/[^/]+(\/.*)$/.exec(url.pathname)?.[1];
    const last = message.headers['last-event-id'];
    const resume = `/v1/streams/${String(message.headers['x-request-id'])}`;
    const target =
      service === undefined
        ? `${this.#engine}${last === undefined ? url.pathname : resume}`
        : `${this.#service}${service}`;
    const options = {
      method: (last === undefined
        ? message.method
        : 'GET') as Dispatcher.HttpMethod,
      headers: { ...message.headers, 'content-length': undefined },
      body: last === undefined && body.length > 0 ? body : null,
    };
    if (this.lie === 'send-twice' && service !== undefined) {
      await (await request(target, options)).body.dump();
    }
    const answer = await request(target, options);
    const text = await answer.body.text();
    this.#answer(response, answer.statusCode, text, last !== undefined);
  }

  #answer(
    response: ServerResponse,
    status: number,
    text: string,
    resumed: boolean,
  ): void {
    if (this.lie === 'not-run' || status !== 200) {
      const type = 'urn:sesamegrade:problem:overloaded';
      const problem = { type, status: 503, outcome: 'not_run', requestId: 'r' };
      sendJson(response, 503, problem);
      return;
    }
    response.writeHead(200);
    if (this.lie === 'break' && !resumed) {
      const [first = ''] = text.split('id: 3\n');
      response.write(first, () => response.destroy());
      return;
    }
    response.end(falsify(text, this.lie));
  }
}

function falsify(text: string, lie: Lie): string {
  if (lie === 'mix') {
    return text.replace(/"content":"\w+\.1 "/, '"content":"0badbad0.1 "');
  }
  if (lie !== 'cut') {
    return text;
  }
  let id = 0;
  return text
    .replace(/id: 4\n.*?\n\n/s, '')
    .replace(/id: 5\n.*(?=id: \d+\ndata: \[DONE\])/s, '')
    .replace(/^id: \d+$/gm, () => `id: ${(id += 1)}`);
}

describe('load run', () => {
  const platform = new PlatformServer();
  let engine: EngineServer;
  let service: ServiceServer;
  let router: LyingRouter;
  let target: { routers: string[]; platform: string; operators: string[] };

  const url = ({ host, port }: { host: string; port: number }) =>
    `http://${host}:${port}`;

  before(async () => {
    const base = url(await platform.start());
    engine = new EngineServer({
      platform: base,
      tokensPerSecond: 5000,
      capacity: 200,
    });
    service = new ServiceServer({ platform: base, delayMs: 1 });
    const addresses = [await engine.start(), await service.start()].map(url);
    router = new LyingRouter(addresses[0]!, addresses[1]!);
    const routers = [url(await router.start())];
    target = { routers, platform: base, operators: [] };
  });

  after(async () => {
    await Promise.all([router.stop(), engine.stop(), service.stop()]);
    await platform.stop();
  });

  async function load(lie: Lie, changes: Partial<LoadPlan> = {}) {
    router.lie = lie;
    const run = new LoadRun({ ...PLAN, ...changes }, target);
    return { run, summary: await run.run() };
  }

  it('finds nothing wrong with a truthful router and reuse in its chats', async () => {
    const { run, summary } = await load('none');
    expect(violatedGuarantees(summary)).to.deep.equal([]);
    expect(summary.ok).to.equal(summary.requests);
    expect(summary.requests).to.be.greaterThan(30);
    expect(summary.reuse.ratio).to.be.within(0.5, 1);
    const page = renderReport(run, summary);
    expect(page.match(/<svg/g)).to.have.length(4);
    expect(page).not.to.match(/https?:|NaN|undefined/);
  });

  it('takes the rest of a broken stream from the last event on', async () => {
    const { summary } = await load('break', { seed: 6, services: [] });
    expect(violatedGuarantees(summary)).to.deep.equal([]);
    expect(summary.ok).to.equal(summary.requests);
  });

  const lies: [Lie, string][] = [
    ['mix', 'mixed answers'],
    ['cut', 'cut answers that look whole'],
    ['not-run', 'untrue refusals'],
    ['send-twice', 'double executions'],
  ];
  for (const [index, [lie, finding]] of lies.entries()) {
    it(`finds ${finding}`, async () => {
      const { summary } = await load(lie, { seed: 10 + index });
      const broken = violatedGuarantees(summary).map(
        line => line.split(':')[0],
      );
      expect(broken).to.deep.equal([finding]);
    });
  }
});
