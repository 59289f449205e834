/** Starts the demo's routers in this process, composed as `router` composes them. */
import { createHash } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import { request } from 'undici';

import { RouterLauncher } from '@sesamegrade/load/demo/router-launcher';
import type {
  DemoFleet,
  LaunchedRouter,
} from '@sesamegrade/load/demo/router-launcher';
import { composeRouter } from '@sesamegrade/router/composition/container';
import { RouterProcess } from '@sesamegrade/router/process/router-process';
import { settingsSchema } from '@sesamegrade/settings/schema';
import type { Settings } from '@sesamegrade/settings/schema';

const READY_POLL_MS = 50;
const READY_LIMIT_MS = 10_000;
const STOP_WAIT_MS = 5000;

/** The secrets guard nothing but a fleet that lives on loopback for seconds. */
const DEMO_SECRETS = { peerSecret: 'demo', operatorToken: 'demo' };

export class InProcessRouterLauncher extends RouterLauncher {
  #launched = 0;

  override async launch(
    fleet: DemoFleet,
    router: { readonly id: string; readonly zone: string },
  ): Promise<LaunchedRouter> {
    this.#launched += 1;
    const settings = demoSettings(fleet, router);
    const container = composeRouter(settings, DEMO_SECRETS, {
      incarnation: this.#launched,
      seed: this.#launched,
    });
    const running = new RouterProcess(container);
    const { callers } = await running.start();
    const url = `http://${callers.host}:${callers.port}`;
    await ready(url);
    return {
      callers: url,
      stop: async () => {
        await running.stop();
      },
    };
  }
}

function demoSettings(
  fleet: DemoFleet,
  { id, zone }: { readonly id: string; readonly zone: string },
): Settings {
  const services = fleet.services.map(
    ({ service, keyRequired, notRunStatuses }) =>
      [
        service,
        {
          kind: 'service',
          repeatable: !keyRequired,
          not_run_statuses: notRunStatuses.join(','),
        },
      ] as const,
  );
  const teams = fleet.teams.map(
    ({ team, key }) =>
      [
        team,
        { key_sha256: createHash('sha256').update(key).digest('hex') },
      ] as const,
  );
  return settingsSchema.parse({
    router: { id, zone, caller_port: 0, peer_port: 0, operator_port: 0 },
    platform: { url: fleet.platform },
    limits: { stop_wait_ms: STOP_WAIT_MS },
    log: { level: 'error' },
    team: Object.fromEntries(teams),
    service: {
      models: { kind: 'engine', models: fleet.models.join(',') },
      ...Object.fromEntries(services),
    },
  });
}

/** Resolves when the router says that it is ready. */
async function ready(url: string): Promise<void> {
  const limit = performance.now() + READY_LIMIT_MS;
  while (performance.now() < limit) {
    const answer = await request(`${url}/readyz`);
    await answer.body.dump();
    if (answer.statusCode === 200) {
      return;
    }
    await sleep(READY_POLL_MS);
  }
  throw new Error(`the router at ${url} does not become ready`);
}
