import type { ConfigurationReplica } from '@sesamegrade/core/configuration/configuration-replica';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { Readiness } from '../callers/caller-server';
import type { VmListPoller } from '../fleet/vm-list-poller';

export interface RouterReadinessOptions {
  readonly vmListPoller: VmListPoller;
  readonly configuration: ConfigurationReplica;
  readonly timers: TimerService;
}

/** Ready once the list of VMs and the configuration have been received, until the router stops. */
export class RouterReadiness extends Readiness {
  readonly #vmListPoller: VmListPoller;
  readonly #configuration: ConfigurationReplica;
  readonly #timers: TimerService;
  #stopping = false;

  constructor(options: RouterReadinessOptions) {
    super();
    this.#vmListPoller = options.vmListPoller;
    this.#configuration = options.configuration;
    this.#timers = options.timers;
  }

  /** Reports not ready from now on, so that the load balancer removes the router. */
  stop(): void {
    this.#stopping = true;
  }

  override get ready(): boolean {
    return this.reason === 'ready';
  }

  override get reason(): string {
    if (this.#stopping) {
      return 'stopping';
    }
    if (!this.#vmListPoller.hasReceivedList) {
      return 'waiting for the list of VMs';
    }
    const isReady = this.#configuration.isReady(this.#timers.now());
    return isReady ? 'ready' : 'waiting for the configuration';
  }
}
