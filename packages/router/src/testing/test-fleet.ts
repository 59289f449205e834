/** Runs a small fleet of routers, stand-in engines, a service and a platform in one process, for tests. */
import { EngineServer } from '@sesamegrade/stand-ins/engine/engine-server';
import type { EngineBehaviour } from '@sesamegrade/stand-ins/engine/engine-options';
import { freePort } from '@sesamegrade/stand-ins/http/free-port';
import { Registration } from '@sesamegrade/stand-ins/http/registration';
import { PlatformServer } from '@sesamegrade/stand-ins/platform/platform-server';
import { ServiceServer } from '@sesamegrade/stand-ins/service/service-server';
import { settingsSchema } from '@sesamegrade/settings/schema';
import { hashKey } from '../callers/team-keys';
import { composeRouter } from '../composition/container';
import { RouterProcess } from '../process/router-process';

export const TEST_KEY = 'test-key';
export const TEST_PEER_SECRET = 'peer';
export const TEST_MODEL = 'drafting';
export const TEST_SERVICE = 'registry';

const READY_POLL_MS = 20;

export interface TestFleetOptions {
  readonly routers: number;
  readonly engines: number;
  readonly engine?: Partial<EngineBehaviour>;
  /** Settings that differ from the defaults, by section. */
  readonly settings?: Readonly<Record<string, object>>;
}

export class TestFleet {
  readonly platform = new PlatformServer({ seed: 1, vmListLagMs: 0 });
  readonly engines: EngineServer[] = [];
  readonly routers: RouterProcess[] = [];
  /** Base URLs of the routers, for callers. */
  readonly urls: string[] = [];
  /** Base URLs of the routers, for operators. */
  readonly operators: string[] = [];
  #service: ServiceServer | undefined;

  get service(): ServiceServer {
    if (!this.#service) {
      throw new Error('TestFleet.start() has not been called');
    }
    return this.#service;
  }

  async start(options: TestFleetOptions): Promise<void> {
    const { host, port } = await this.platform.start();
    const platform = `http://${host}:${port}`;
    for (let index = 1; index <= options.engines; index += 1) {
      const engine = new EngineServer({
        platform,
        vm: `engine-${index}`,
        models: [TEST_MODEL],
        ...options.engine,
      });
      this.engines.push(engine);
      await engine.start();
    }
    this.#service = new ServiceServer({
      platform,
      vm: 'service-1',
      service: TEST_SERVICE,
    });
    await this.#service.start();
    for (let index = 1; index <= options.routers; index += 1) {
      await this.#startRouter(platform, index, options);
    }
  }

  /** Posts a chat to one of the routers. */
  chat(
    router: number,
    body: object,
    headers: Readonly<Record<string, string>> = {},
    signal?: AbortSignal,
  ): Promise<Response> {
    return fetch(`${this.urls[router] ?? ''}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${TEST_KEY}`, ...headers },
      body: JSON.stringify(body),
      ...(signal ? { signal } : {}),
    });
  }

  /** Calls the plain service through one of the routers. */
  call(
    router: number,
    body: object,
    headers: Readonly<Record<string, string>>,
  ): Promise<Response> {
    return fetch(`${this.urls[router] ?? ''}/services/${TEST_SERVICE}/orders`, {
      method: 'POST',
      headers: { authorization: `Bearer ${TEST_KEY}`, ...headers },
      body: JSON.stringify(body),
    });
  }

  async stop(): Promise<void> {
    await Promise.all(this.routers.map(router => router.stop()));
    await Promise.all(this.engines.map(engine => engine.stop()));
    await this.#service?.stop();
    await this.platform.stop();
  }

  async #startRouter(
    platform: string,
    index: number,
    { settings = {} }: TestFleetOptions,
  ): Promise<void> {
    const parsedSettings = settingsSchema.parse({
      router: {
        id: `router-${index}`,
        zone: 'zone-a',
        caller_port: 0,
        peer_port: await freePort(),
        operator_port: 0,
      },
      platform: { url: platform, list_poll_ms: '50' },
      log: { level: 'error' },
      team: { acme: { key_sha256: hashKey(TEST_KEY) } },
      service: {
        engines: { kind: 'engine', models: TEST_MODEL },
        [TEST_SERVICE]: {
          kind: 'service',
          repeatable: false,
          not_run_statuses: '429',
        },
      },
      ...settings,
      limits: { drain_notice_ms: '0', ...settings.limits },
    });
    const secrets = { peerSecret: TEST_PEER_SECRET, operatorToken: 'operator' };
    const identity = { incarnation: index, seed: index, program: 'test' };
    const router = new RouterProcess(
      composeRouter(parsedSettings, secrets, identity),
    );
    const { callers, peers, operators } = await router.start();
    await new Registration(platform).register({
      vm: `router-${index}`,
      kind: 'router',
      ...peers,
      zone: 'zone-a',
      state: 'live',
      incarnation: index,
      capacity: 0,
    });
    this.operators.push(`http://${operators.host}:${operators.port}`);
    const url = `http://${callers.host}:${callers.port}`;
    this.routers.push(router);
    this.urls.push(url);
    await waitUntilReady(url);
  }
}

async function waitUntilReady(url: string): Promise<void> {
  for (;;) {
    const response = await fetch(`${url}/readyz`);
    await response.arrayBuffer();
    if (response.ok) {
      return;
    }
    await new Promise(resolve => setTimeout(resolve, READY_POLL_MS));
  }
}
