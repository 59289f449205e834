/**
 * Tracks whether this router has read the configuration, the list of endpoints and the
 * evacuated zones at least once.
 */
import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { EvacuatedZones } from '@sesamegrade/core/endpoints/evacuated-zones';
import type { RouteTable } from '@sesamegrade/core/routes/route-table';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { Milliseconds } from '@sesamegrade/core/types/units';

export interface FleetReadinessOptions {
  readonly routes: RouteTable;
  readonly endpointDirectory: EndpointDirectory;
  readonly evacuatedZones: EvacuatedZones;
}

export class FleetReadiness {
  readonly #options: FleetReadinessOptions;
  #waiting: (() => void)[] = [];

  constructor({
    routes,
    endpointDirectory,
    evacuatedZones,
  }: FleetReadinessOptions) {
    this.#options = { routes, endpointDirectory, evacuatedZones };
    evacuatedZones.onKnown(() => {
      this.notifyIfReady();
    });
  }

  get isReady(): boolean {
    const { routes, endpointDirectory, evacuatedZones } = this.#options;
    return (
      routes.version !== undefined &&
      endpointDirectory.isLoaded &&
      evacuatedZones.isKnown
    );
  }

  /** Resolves all waits if all are known by now; called after each change. */
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

  /** Resolves when all are known, or after `timeout`. */
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
