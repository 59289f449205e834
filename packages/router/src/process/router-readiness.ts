import { Readiness } from '../callers/caller-server';
import type { VmListFeed } from '../fleet/vm-list-feed';

export interface RouterReadinessOptions {
  readonly feed: VmListFeed;
}

/** Ready once the fleet is known, until the router stops. */
export class RouterReadiness extends Readiness {
  readonly #feed: VmListFeed;
  #stopping = false;

  constructor(options: RouterReadinessOptions) {
    super();
    this.#feed = options.feed;
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
    return this.#feed.received ? 'ready' : 'waiting for the list of VMs';
  }
}
