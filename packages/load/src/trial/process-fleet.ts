/** A fleet of separate processes on loopback, optionally with a fault proxy in front of each endpoint. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { Registration } from '@sesamegrade/stand-ins/http/registration';
import type { LoadTarget } from '../run/load-run';
import { ChildVm } from './child-vm';
import type { Program } from './child-vm';
import { freePort, postJson, waitUntilReady } from './net';
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
  /** Whether a fault proxy is in front of each endpoint. */
  readonly proxies: boolean;
  /** Additional command line flags of the engines, by name without dashes. */
  readonly engineFlags?: Readonly<Record<string, string | number>>;
}

/** An engine or a service, and the proxy, if any, through which routers reach it. */
interface ProxiedEndpoint {
  readonly endpoint: ChildVm;
  readonly proxy: ChildVm | undefined;
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

  /** Starts all processes; resolves when every router is ready. */
  async start(): Promise<void> {
    const { engines, services, routers, settings, seed } = this.#options;
    this.#platform = await this.#spawn([
      'stand-in',
      'platform',
      ...toFlags({ 'vm-list-lag-ms': VM_LIST_LAG_MS, seed }),
    ]);
    const models = settings.models().join(',');
    const service = settings.services()[0] ?? 'registry';
    const engineFlags = {
      models,
      'tokens-per-second': ENGINE_TOKENS_PER_SECOND,
      ...this.#options.engineFlags,
    };
    await Promise.all([
      ...numberedIds('engine', engines).map(vm =>
        this.#startEndpoint('engine', vm, engineFlags),
      ),
      ...numberedIds('service', services).map(vm =>
        this.#startEndpoint('service', vm, { service }),
      ),
    ]);
    await Promise.all(
      numberedIds('router', routers).map(id => this.startRouter(id)),
    );
  }

  /** Base URL of the platform. */
  get platform(): string {
    return loopbackUrl(this.#platform?.announcement.port);
  }

  /** The addresses that a load run needs. */
  target(): LoadTarget {
    const routers = [...this.#routers.values()];
    return {
      routers: routers.map(({ announcement }) =>
        loopbackUrl(announcement.callers?.port),
      ),
      platform: this.platform,
      operators: routers.flatMap(({ announcement: { operators } }) =>
        operators ? [loopbackUrl(operators.port)] : [],
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
    await waitUntilReady(loopbackUrl(callers?.port));
  }

  /** Kills a router with SIGKILL. */
  async killRouter(id: string): Promise<void> {
    await this.#routers.get(id)?.kill();
  }

  /** Stops a router with SIGTERM and returns its exit code; undefined if it was killed. */
  async stopRouter(id: string): Promise<number | undefined> {
    return this.#routers.get(id)?.stop();
  }

  /** Base URL of an endpoint itself, not of its proxy. */
  endpoint(vm: string): string {
    return loopbackUrl(this.#endpoints.get(vm)?.endpoint.announcement.port);
  }

  /** Processor time that a router has used, in seconds. */
  routerCpuSeconds(id: string): number {
    return this.#routers.get(id)?.cpuSeconds() ?? 0;
  }

  /** Sets the fault of the proxy in front of an endpoint; an empty object clears it. */
  async setProxyFault(vm: string, fault: object): Promise<void> {
    const proxy = this.#endpoints.get(vm)?.proxy;
    await postJson(
      `${loopbackUrl(proxy?.announcement.controlPort)}/control`,
      fault,
    );
  }

  /** Sets faults of an endpoint itself, bypassing its proxy. */
  async controlEndpoint(vm: string, change: object): Promise<void> {
    await postJson(`${this.endpoint(vm)}/control`, change);
  }

  async setPlatformFaults(faults: object): Promise<void> {
    await postJson(`${this.platform}/control/faults`, faults);
  }

  /** Stops every process that still runs; returns the ids of routers that did not exit with 0. */
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
    const proxies = endpoints.flatMap(({ proxy }) => (proxy ? [proxy] : []));
    await Promise.all(proxies.map(proxy => proxy.stop()));
    await this.#platform?.stop();
    rmSync(this.#folder, { recursive: true, force: true });
    return failed;
  }

  async #startEndpoint(
    role: string,
    vm: string,
    extra: Readonly<Record<string, string | number>>,
  ): Promise<void> {
    const common = { vm, platform: this.platform, ...extra };
    if (!this.#options.proxies) {
      const endpoint = await this.#spawn([
        'stand-in',
        role,
        ...toFlags(common),
      ]);
      this.#endpoints.set(vm, { endpoint, proxy: undefined });
      return;
    }
    // The proxy needs its target's port and the endpoint registers the proxy's address, so the proxy starts first.
    const port = await freePort();
    const target = toFlags({ target: `${HOST}:${port}` });
    const proxy = await this.#spawn(['stand-in', 'fault-proxy', ...target]);
    const advertise = `${HOST}:${proxy.announcement.port ?? 0}`;
    const proxied = toFlags({ ...common, port, advertise });
    const endpoint = await this.#spawn(['stand-in', role, ...proxied]);
    this.#endpoints.set(vm, { endpoint, proxy });
  }

  #spawn(
    args: readonly string[],
    environment: Readonly<Record<string, string>> = {},
  ): Promise<ChildVm> {
    return ChildVm.start(this.#options.program, args, environment);
  }
}

function numberedIds(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index + 1}`);
}

function toFlags(options: Readonly<Record<string, string | number>>): string[] {
  return Object.entries(options).flatMap(([name, value]) => [
    `--${name}`,
    String(value),
  ]);
}

function loopbackUrl(port: number | undefined): string {
  return `http://${HOST}:${port ?? 0}`;
}
