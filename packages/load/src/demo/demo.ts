/** Runs a complete fleet in one process on loopback under a short load. */
import { setTimeout as sleep } from 'node:timers/promises';

import { EngineServer } from '@sesamegrade/stand-ins/engine/engine-server';
import { PlatformServer } from '@sesamegrade/stand-ins/platform/platform-server';
import { ServiceServer } from '@sesamegrade/stand-ins/service/service-server';
import type { LoadPlan } from '../plan/load-plan';
import { LoadRun } from '../run/load-run';
import type { LoadSummary } from '../run/summary';
import type {
  DemoFleet,
  LaunchedRouter,
  RouterLauncher,
} from './router-launcher';

const ENGINES = 6;
const SERVICES = 3;
const ROUTERS = 3;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const MODEL = 'drafting';
const SERVICE = 'registry';
const TEAMS = 6;
const VM_LIST_LAG_MS = 1000;
const WARM_UP_MS = 1500;
const NOT_RUN_STATUS = 429;
const RESPONSE_TOKENS = 32;
const TOKENS_PER_SECOND = 40;

export interface DemoOptions {
  readonly seconds: number;
  readonly seed: number;
}

/** Receives a line for each step of the demo. */
export type DemoProgressListener = (line: string) => void;

const zoneOf = (index: number) => ZONES[index % ZONES.length] ?? 'zone-a';

function createPlan(
  { seconds, seed }: DemoOptions,
  fleet: DemoFleet,
): LoadPlan {
  return {
    seed,
    seconds,
    teams: fleet.teams.map(({ team, key }, index) => ({
      team,
      key,
      weight: 1 / (index + 1),
    })),
    models: fleet.models,
    chatsPerSecond: 40,
    chatPopulation: 150,
    returnPauseMs: 2000,
    turnsPerChat: 8,
    maxTokens: RESPONSE_TOKENS,
    services: fleet.services.map(({ service }) => service),
    ordersPerSecond: 10,
    resends: 0.2,
    lookupsPerSecond: 0,
  };
}

export class Demo {
  readonly #options: DemoOptions;
  readonly #launcher: RouterLauncher;
  readonly #onProgress: DemoProgressListener;
  readonly #engines: EngineServer[] = [];
  readonly #services: ServiceServer[] = [];
  readonly #routers: LaunchedRouter[] = [];
  readonly #platform: PlatformServer;

  constructor(
    options: DemoOptions,
    launcher: RouterLauncher,
    onProgress: DemoProgressListener,
  ) {
    this.#options = options;
    this.#launcher = launcher;
    this.#onProgress = onProgress;
    this.#platform = new PlatformServer({
      seed: options.seed,
      vmListLagMs: VM_LIST_LAG_MS,
    });
  }

  /** Starts the fleet, runs the load while one engine leaves, and stops the fleet in any case. */
  async run(onStart: (run: LoadRun) => void): Promise<LoadSummary> {
    try {
      const fleet = await this.#startFleet();
      const load = this.#createLoadRun(fleet);
      onStart(load);
      const leaving = this.#removeEngineHalfway();
      const summary = await load.run();
      await leaving;
      return summary;
    } finally {
      await this.#stop();
    }
  }

  async #startFleet(): Promise<DemoFleet> {
    const { host, port } = await this.#platform.start();
    const platform = `http://${host}:${port}`;
    await this.#startEndpoints(platform);
    const fleet = createFleet(platform);
    await sleep(VM_LIST_LAG_MS);
    for (let index = 0; index < ROUTERS; index += 1) {
      const router = { id: `router-${index + 1}`, zone: zoneOf(index) };
      this.#routers.push(await this.#launcher.launch(fleet, router));
    }
    await sleep(WARM_UP_MS);
    this.#onProgress(
      `${ROUTERS} routers, ${ENGINES} engines, ${SERVICES} services`,
    );
    return fleet;
  }

  async #startEndpoints(platform: string): Promise<void> {
    const { seed } = this.#options;
    for (let index = 0; index < ENGINES; index += 1) {
      const vm = `engine-${index + 1}`;
      const zone = zoneOf(index);
      const engine = new EngineServer({
        platform,
        vm,
        zone,
        models: [MODEL],
        tokensPerSecond: TOKENS_PER_SECOND,
        seed: seed + index,
      });
      this.#engines.push(engine);
      await engine.start();
    }
    for (let index = 0; index < SERVICES; index += 1) {
      const vm = `service-${index + 1}`;
      const zone = zoneOf(index);
      const service = new ServiceServer({
        platform,
        vm,
        zone,
        service: SERVICE,
      });
      this.#services.push(service);
      await service.start();
    }
  }

  #createLoadRun(fleet: DemoFleet): LoadRun {
    return new LoadRun(createPlan(this.#options, fleet), {
      routers: this.#routers.map(({ callers }) => callers),
      platform: fleet.platform,
      operators: this.#routers.flatMap(({ operators }) =>
        operators === undefined ? [] : [operators],
      ),
      operatorToken: this.#routers[0]?.operatorToken,
    });
  }

  async #removeEngineHalfway(): Promise<void> {
    await sleep((this.#options.seconds * 1000) / 2);
    await this.#engines[0]?.control({ leaving: true });
    this.#onProgress('engine-1 is leaving');
  }

  async #stop(): Promise<void> {
    await Promise.allSettled(this.#routers.map(router => router.stop()));
    const servers = [...this.#engines, ...this.#services];
    await Promise.allSettled(servers.map(server => server.stop()));
    await this.#platform.stop();
  }
}

function createFleet(platform: string): DemoFleet {
  return {
    platform,
    teams: Array.from({ length: TEAMS }, (_, index) => ({
      team: `team-${index + 1}`,
      key: `demo-key-of-team-${index + 1}`,
    })),
    models: [MODEL],
    services: [
      {
        service: SERVICE,
        keyRequired: true,
        notRunStatuses: [NOT_RUN_STATUS],
      },
    ],
  };
}
