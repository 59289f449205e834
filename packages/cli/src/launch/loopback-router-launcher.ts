/** Starts complete routers in this process, on loopback addresses and free ports. */
import { randomBytes, randomInt } from 'node:crypto';

import { RouterLauncher } from '@sesamegrade/load/demo/router-launcher';
import type {
  DemoFleet,
  LaunchedRouter,
} from '@sesamegrade/load/demo/router-launcher';
import { hashKey } from '@sesamegrade/router/callers/team-keys';
import { composeRouter } from '@sesamegrade/router/composition/container';
import { RouterProcess } from '@sesamegrade/router/process/router-process';
import { settingsSchema } from '@sesamegrade/settings/schema';
import type { Settings } from '@sesamegrade/settings/schema';
import { freePort } from '@sesamegrade/stand-ins/http/free-port';
import { Registration } from '@sesamegrade/stand-ins/http/registration';
import { VERSION } from '../version';

const SECRET_BYTES = 16;
const MAX_SEED = 2 ** 31;
const READY_POLL_MS = 50;

export class LoopbackRouterLauncher extends RouterLauncher {
  readonly #secrets = {
    peerSecret: randomBytes(SECRET_BYTES).toString('hex'),
    operatorToken: randomBytes(SECRET_BYTES).toString('hex'),
  };
  #incarnation = Date.now();

  override async launch(
    fleet: DemoFleet,
    router: { readonly id: string; readonly zone: string },
  ): Promise<LaunchedRouter> {
    this.#incarnation += 1;
    const settings = createSettings(fleet, router, await freePort());
    const container = composeRouter(settings, this.#secrets, {
      incarnation: this.#incarnation,
      seed: randomInt(MAX_SEED),
      program: VERSION,
    });
    const routerProcess = new RouterProcess(container);
    const { callers, peers, operators } = await routerProcess.start();
    const platform = new Registration(fleet.platform);
    await platform.register({
      vm: router.id,
      kind: 'router',
      ...peers,
      zone: router.zone,
      state: 'live',
      incarnation: this.#incarnation,
      capacity: 0,
    });
    const callersUrl = `http://${callers.host}:${callers.port}`;
    await waitUntilReady(callersUrl);
    return {
      callers: callersUrl,
      operators: `http://${operators.host}:${operators.port}`,
      operatorToken: this.#secrets.operatorToken,
      stop: async () => {
        await platform.leave(router.id);
        await routerProcess.stop();
      },
    };
  }
}

function createSettings(
  fleet: DemoFleet,
  router: { readonly id: string; readonly zone: string },
  peerPort: number,
): Settings {
  const engines = { engines: { kind: 'engine', models: fleet.models.join() } };
  const services: Record<string, unknown> = {};
  for (const { service, keyRequired, notRunStatuses } of fleet.services) {
    services[service] = {
      kind: 'service',
      repeatable: !keyRequired,
      not_run_statuses: notRunStatuses.join(),
    };
  }
  const teams: Record<string, unknown> = {};
  for (const { team, key } of fleet.teams) {
    teams[team] = { key_sha256: hashKey(key) };
  }
  return settingsSchema.parse({
    router: {
      ...router,
      caller_port: 0,
      peer_port: peerPort,
      operator_port: 0,
    },
    platform: { url: fleet.platform },
    limits: { drain_notice_ms: 0 },
    log: { level: 'error' },
    service: { ...engines, ...services },
    team: teams,
  });
}

async function waitUntilReady(callersUrl: string): Promise<void> {
  for (;;) {
    const response = await fetch(`${callersUrl}/readyz`);
    await response.arrayBuffer();
    if (response.ok) {
      return;
    }
    await new Promise(resolve => setTimeout(resolve, READY_POLL_MS));
  }
}
