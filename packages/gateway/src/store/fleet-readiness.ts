/**
 * Tracks whether this router has read the configuration and the list of
 * endpoints at least once.
 */
import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { RouteTable } from '@sesamegrade/core/routes/route-table';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { Milliseconds } from '@sesamegrade/core/types/units';

export interface FleetReadinessOptions {
  readonly routes: RouteTable;
  readonly endpointDirectory: EndpointDirectory;
}

export class FleetReadiness {
  readonly #options: FleetReadinessOptions;
  #waiting: (() => void)[] = [];

  constructor({ routes, endpointDirectory }: FleetReadinessOptions) {
    this.#options = { routes, endpointDirectory };
  }

  get isReady(): boolean {
    const { routes, endpointDirectory } = this.#options;
    return routes.version !== undefined && endpointDirectory.isLoaded;
  }

  /** Resolves all waits if both are known by now; called after each change. */
  notifyIfReady(): void {
    if (!this.isReady) {
      return;
    }
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach(resolveWait => {
      resolveWait();
    });
  }

  /** Resolves when both are known, or after `timeout`. */
  waitUntilReady(timers: TimerService, timeout: Milliseconds): Promise<void> {
    if (this.isReady) {
      return Promise.resolve();
    }
    return new Promise(resolve => {
      const cancel = timers.after(timeout, () => {
        resolve();
      });
      this.#waiting.push(() => {
        cancel();
        resolve();
      });
    });
  }
}
