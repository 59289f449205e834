/** Asks endpoints whether they are alive after an attempt broke. */
import type { CrashObserver } from '@sesamegrade/core/policies/crash-observer';
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
        void this.#probe(endpoint);
      }
    });
  }

  async #probe(endpoint: EndpointId): Promise<void> {
    const alive = await this.#answers(endpoint);
    const now = this.#options.timers.now();
    this.#options.crashObserver.onProbeResult(endpoint, alive, now);
  }

  /** Any answer counts, as a plain service may not know the path. */
  async #answers(endpoint: EndpointId): Promise<boolean> {
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
