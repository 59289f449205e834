/** Whether the configuration and the endpoints have been read once. */
import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { RouteTable } from '@sesamegrade/core/routes/route-table';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { Milliseconds } from '@sesamegrade/core/types/units';

export interface FleetReadinessOptions {
  readonly routes: RouteTable;
  readonly directory: EndpointDirectory;
}

export class FleetReadiness {
  readonly #options: FleetReadinessOptions;
  #waiting: (() => void)[] = [];

  constructor({ routes, directory }: FleetReadinessOptions) {
    this.#options = { routes, directory };
  }

  get isReady(): boolean {
    const { routes, directory } = this.#options;
    return routes.version !== undefined && directory.loaded;
  }

  /** Wakes those that wait, when there is nothing more to wait for. */
  notifyIfReady(): void {
    if (!this.isReady) {
      return;
    }
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach(wake => {
      wake();
    });
  }

  /** Returns when the fleet is known or the time is over. */
  waitUntilReady(timers: TimerService, longest: Milliseconds): Promise<void> {
    if (this.isReady) {
      return Promise.resolve();
    }
    return new Promise(resolve => {
      const cancel = timers.after(longest, () => {
        resolve();
      });
      this.#waiting.push(() => {
        cancel();
        resolve();
      });
    });
  }
}
