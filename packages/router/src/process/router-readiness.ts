import type { ConfigurationReplica } from '@sesamegrade/core/configuration/configuration-replica';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { Readiness } from '../callers/caller-server';
import type { VmListFeed } from '../fleet/vm-list-feed';

export interface RouterReadinessOptions {
  readonly feed: VmListFeed;
  readonly keeper: ConfigurationReplica;
  readonly timers: TimerService;
}

/** Ready once the fleet and the configuration are known, until the router stops. */
export class RouterReadiness extends Readiness {
  readonly #feed: VmListFeed;
  readonly #keeper: ConfigurationReplica;
  readonly #timers: TimerService;
  #stopping = false;

  constructor(options: RouterReadinessOptions) {
    super();
    this.#feed = options.feed;
    this.#keeper = options.keeper;
    this.#timers = options.timers;
  }

  /** Takes the router out of the balancer. */
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
    if (!this.#feed.received) {
      return 'waiting for the list of VMs';
    }
    const current = this.#keeper.isReady(this.#timers.now());
    return current ? 'ready' : 'waiting for the configuration';
  }
}
