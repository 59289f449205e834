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

/** A fault of the router that the load run must detect, or must tolerate (`break`). */
type RouterFault = 'none' | 'mix' | 'cut' | 'break' | 'not-run' | 'send-twice';

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

/** A proxy that forwards requests to one engine or one service and injects a fault into the responses. */
class FaultyRouter extends HttpStandIn {
  fault: RouterFault = 'none';
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
    const lastEventId = message.headers['last-event-id'];
    const resumePath = `/v1/streams/${String(message.headers['x-request-id'])}`;
    const target =
      service === undefined
        ? `${this.#engine}${lastEventId === undefined ? url.pathname : resumePath}`
        : `${this.#service}${service}`;
    const options = {
      method: (lastEventId === undefined
        ? message.method
        : 'GET') as Dispatcher.HttpMethod,
      headers: { ...message.headers, 'content-length': undefined },
      body: lastEventId === undefined && body.length > 0 ? body : null,
    };
    if (this.fault === 'send-twice' && service !== undefined) {
      await (await request(target, options)).body.dump();
    }
    const forwarded = await request(target, options);
    const text = await forwarded.body.text();
    this.#respond(
      response,
      forwarded.statusCode,
      text,
      lastEventId !== undefined,
    );
  }

  #respond(
    response: ServerResponse,
    status: number,
    text: string,
    resumed: boolean,
  ): void {
    if (this.fault === 'not-run' || status !== 200) {
      const type = 'urn:sesamegrade:problem:overloaded';
      const problem = { type, status: 503, outcome: 'not_run', requestId: 'r' };
      sendJson(response, 503, problem);
      return;
    }
    response.writeHead(200);
    if (this.fault === 'break' && !resumed) {
      const [first = ''] = text.split('id: 3\n');
      response.write(first, () => response.destroy());
      return;
    }
    response.end(corruptResponse(text, this.fault));
  }
}

function corruptResponse(text: string, fault: RouterFault): string {
  if (fault === 'mix') {
    return text.replace(/"content":"\w+\.1 "/, '"content":"0badbad0.1 "');
  }
  if (fault !== 'cut') {
    return text;
  }
  let id = 0;
  return text
    .replace(/id: 4\n.*?\n\n/s, '')
    .replace(/id: 5\n.*(?=id: \d+\ndata: \[DONE\])/s, '')
    .replace(/^id: \d+$/gm, () => `id: ${(id += 1)}`);
}

describe('LoadRun', () => {
  const platform = new PlatformServer();
  let engine: EngineServer;
  let service: ServiceServer;
  let router: FaultyRouter;
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
    router = new FaultyRouter(addresses[0]!, addresses[1]!);
    const routers = [url(await router.start())];
    target = { routers, platform: base, operators: [] };
  });

  after(async () => {
    await Promise.all([router.stop(), engine.stop(), service.stop()]);
    await platform.stop();
  });

  async function load(fault: RouterFault, changes: Partial<LoadPlan> = {}) {
    router.fault = fault;
    const run = new LoadRun({ ...PLAN, ...changes }, target);
    return { run, summary: await run.run() };
  }

  it('finds no violated guarantee behind a correct router, and measures cache reuse of its chats', async () => {
    const { run, summary } = await load('none');
    expect(violatedGuarantees(summary)).to.deep.equal([]);
    expect(summary.ok).to.equal(summary.requests);
    expect(summary.requests).to.be.greaterThan(30);
    expect(summary.reuse.ratio).to.be.within(0.5, 1);
    const page = renderReport(run, summary);
    expect(page.match(/<svg/g)).to.have.length(4);
    expect(page).not.to.match(/https?:|NaN|undefined/);
  });

  it('resumes a stream after its last event when the connection was lost', async () => {
    const { summary } = await load('break', { seed: 6, services: [] });
    expect(violatedGuarantees(summary)).to.deep.equal([]);
    expect(summary.ok).to.equal(summary.requests);
  });

  const detectedFaults: [RouterFault, string][] = [
    ['mix', 'mixed responses'],
    ['cut', 'truncated responses that look complete'],
    ['not-run', 'false not_run refusals'],
    ['send-twice', 'double executions'],
  ];
  for (const [index, [fault, finding]] of detectedFaults.entries()) {
    it(`detects ${finding}`, async () => {
      const { summary } = await load(fault, { seed: 10 + index });
      const violated = violatedGuarantees(summary).map(
        line => line.split(':')[0],
      );
      expect(violated).to.deep.equal([finding]);
    });
  }
});
