/** A fleet of real processes on loopback, with a fault proxy before each endpoint. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { Registration } from '@sesamegrade/stand-ins/http/registration';
import type { LoadTarget } from '../run/load-run';
import { ChildVm } from './child-vm';
import type { Program } from './child-vm';
import { freePort, post, ready } from './net';
import type { RouterSettings } from './router-settings';

const HOST = '127.0.0.1';
const ENGINE_TOKENS_PER_SECOND = 40;
const VM_LIST_LAG_MS = 1000;
const OPERATOR_TOKEN = 'trial-operator-token';

export interface ProcessFleetOptions {
  readonly program: Program;
  readonly settings: RouterSettings;
  readonly routers: number;
  readonly engines: number;
  readonly services: number;
  readonly seed: number;
}

/** An engine or a service and the proxy through which routers reach it. */
interface ProxiedEndpoint {
  readonly endpoint: ChildVm;
  readonly proxy: ChildVm;
}

export class ProcessFleet {
  readonly #options: ProcessFleetOptions;
  readonly #folder = mkdtempSync(join(tmpdir(), 'sesamegrade-trial-'));
  readonly #endpoints = new Map<string, ProxiedEndpoint>();
  readonly #routers = new Map<string, ChildVm>();
  #platform: ChildVm | undefined;

  constructor(options: ProcessFleetOptions) {
    this.#options = options;
  }

  /** Starts everything; resolves when every router is ready. */
  async start(): Promise<void> {
    const { engines, services, routers, settings, seed } = this.#options;
    this.#platform = await this.#spawn([
      'stand-in',
      'platform',
      ...flags({ 'vm-list-lag-ms': VM_LIST_LAG_MS, seed }),
    ]);
    const models = settings.models().join(',');
    const service = settings.services()[0] ?? 'registry';
    const engineFlags = {
      models,
      'tokens-per-second': ENGINE_TOKENS_PER_SECOND,
    };
    await Promise.all([
      ...names('engine', engines).map(vm =>
        this.#startEndpoint('engine', vm, engineFlags),
      ),
      ...names('service', services).map(vm =>
        this.#startEndpoint('service', vm, { service }),
      ),
    ]);
    await Promise.all(names('router', routers).map(id => this.startRouter(id)));
  }

  /** Base URL of the platform. */
  get platform(): string {
    return url(this.#platform?.announcement.port);
  }

  /** Where a load run finds the fleet. */
  target(): LoadTarget {
    const routers = [...this.#routers.values()];
    return {
      routers: routers.map(({ announcement }) =>
        url(announcement.callers?.port),
      ),
      platform: this.platform,
      operators: routers.flatMap(({ announcement: { operators } }) =>
        operators ? [url(operators.port)] : [],
      ),
      operatorToken: OPERATOR_TOKEN,
    };
  }

  /** Starts a router and resolves when it is ready. */
  async startRouter(id: string): Promise<void> {
    const file = join(this.#folder, `${id}.ini`);
    writeFileSync(file, this.#options.settings.file(id, this.platform));
    const router = await this.#spawn(['router', '--settings', file], {
      SESAMEGRADE_PEER_SECRET: 'trial-peer-secret',
      SESAMEGRADE_OPERATOR_TOKEN: OPERATOR_TOKEN,
    });
    this.#routers.set(id, router);
    const { callers, peers } = router.announcement;
    if (peers) {
      await new Registration(this.platform).register({
        vm: id,
        kind: 'router',
        ...peers,
        zone: 'zone-a',
        state: 'live',
        incarnation: Date.now(),
        capacity: 0,
      });
    }
    await ready(url(callers?.port));
  }

  /** Ends a router without warning. */
  async killRouter(id: string): Promise<void> {
    await this.#routers.get(id)?.kill();
  }

  /** Stops a router as planned and returns its exit code. */
  async stopRouter(id: string): Promise<number | undefined> {
    return this.#routers.get(id)?.stop();
  }

  /** Sets the fault of the proxy before an endpoint; an empty one clears it. */
  async setProxyFault(vm: string, fault: object): Promise<void> {
    const proxy = this.#endpoints.get(vm)?.proxy;
    await post(`${url(proxy?.announcement.controlPort)}/control`, fault);
  }

  /** Sets faults of an endpoint, past its proxy. */
  async controlEndpoint(vm: string, change: object): Promise<void> {
    const endpoint = this.#endpoints.get(vm)?.endpoint;
    await post(`${url(endpoint?.announcement.port)}/control`, change);
  }

  async setPlatformFaults(faults: object): Promise<void> {
    await post(`${this.platform}/control/faults`, faults);
  }

  /** Stops every process that still runs and returns routers that did not exit with 0. */
  async stop(): Promise<string[]> {
    const failed: string[] = [];
    await Promise.all(
      [...this.#routers].map(async ([id, router]) => {
        if (router.running && (await router.stop()) !== 0) {
          failed.push(id);
        }
      }),
    );
    const endpoints = [...this.#endpoints.values()];
    await Promise.all(endpoints.map(({ endpoint }) => endpoint.stop()));
    await Promise.all(endpoints.map(({ proxy }) => proxy.stop()));
    await this.#platform?.stop();
    rmSync(this.#folder, { recursive: true, force: true });
    return failed;
  }

  async #startEndpoint(
    role: string,
    vm: string,
    extra: Readonly<Record<string, string | number>>,
  ): Promise<void> {
    // The proxy's target must be known first, so the endpoint registers last.
    const port = await freePort();
    const proxy = await this.#spawn([
      'stand-in',
      'fault-proxy',
      ...flags({ target: `${HOST}:${port}` }),
    ]);
    const advertise = `${HOST}:${proxy.announcement.port ?? 0}`;
    const endpoint = await this.#spawn([
      'stand-in',
      role,
      ...flags({ port, vm, advertise, platform: this.platform, ...extra }),
    ]);
    this.#endpoints.set(vm, { endpoint, proxy });
  }

  #spawn(
    args: readonly string[],
    environment: Readonly<Record<string, string>> = {},
  ): Promise<ChildVm> {
    return ChildVm.start(this.#options.program, args, environment);
  }
}

function names(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index + 1}`);
}

function flags(options: Readonly<Record<string, string | number>>): string[] {
  return Object.entries(options).flatMap(([name, value]) => [
    `--${name}`,
    String(value),
  ]);
}

function url(port: number | undefined): string {
  return `http://${HOST}:${port ?? 0}`;
}
