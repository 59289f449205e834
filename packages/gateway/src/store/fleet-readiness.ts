/** Whether the configuration and the endpoints have been read once. */
import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { RouteTable } from '@sesamegrade/core/routes/route-table';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { Milliseconds } from '@sesamegrade/core/types/units';

export interface FleetReadinessParts {
  readonly routes: RouteTable;
  readonly directory: EndpointDirectory;
}

export class FleetReadiness {
  readonly #parts: FleetReadinessParts;
  #waiting: (() => void)[] = [];

  constructor({ routes, directory }: FleetReadinessParts) {
    this.#parts = { routes, directory };
  }

  get isReached(): boolean {
    const { routes, directory } = this.#parts;
    return routes.version !== undefined && directory.isLoaded;
  }

  /** Wakes those that wait, when there is nothing more to wait for. */
  changed(): void {
    if (!this.isReached) {
      return;
    }
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach(wake => {
      wake();
    });
  }

  /** Returns when the fleet is known or the time is over. */
  wait(timers: TimerService, longest: Milliseconds): Promise<void> {
    if (this.isReached) {
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
