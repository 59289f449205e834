/** Probes endpoints after a failed attempt, to find out whether they crashed. */
import type { CrashObserver } from '@sesamegrade/core/policies/crash-observer';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { EndpointId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { FleetDirectory } from '../fleet/fleet-directory';
import type { EndpointClient } from './endpoint-client';

export interface EndpointProberOptions {
  readonly crashObserver: CrashObserver;
  readonly directory: FleetDirectory;
  readonly client: EndpointClient;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
}

const PROBE_QUEUE_PERIOD = milliseconds(10);
const PROBE_TIMEOUT_MS = 1000;
const PROBE_CALL = {
  method: 'GET',
  path: '/health',
  headers: {},
  body: undefined,
};

export class EndpointProber {
  readonly #options: EndpointProberOptions;

  constructor(options: EndpointProberOptions) {
    this.#options = options;
  }

  start(): () => void {
    return this.#options.timers.every(PROBE_QUEUE_PERIOD, () => {
      for (const endpoint of this.#options.crashObserver.takeProbes()) {
        this.#options.backgroundTasks.run('probe', () => this.#probe(endpoint));
      }
    });
  }

  async #probe(endpoint: EndpointId): Promise<void> {
    const isAlive = await this.#respondsToProbe(endpoint);
    const now = this.#options.timers.now();
    this.#options.crashObserver.onProbeResult(endpoint, isAlive, now);
  }

  /** Any response counts as alive, because a plain service may not implement the path. */
  async #respondsToProbe(endpoint: EndpointId): Promise<boolean> {
    const address = this.#options.directory.addressOf(endpoint);
    if (address === undefined) {
      return false;
    }
    const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
    const result = await this.#options.client.send(address, PROBE_CALL, signal);
    if (result.kind === 'failed') {
      return false;
    }
    await result.response.body.dump();
    return true;
  }
}
